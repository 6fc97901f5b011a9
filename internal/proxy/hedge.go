package proxy

import (
	"context"
	"maps"
	"sync"
	"time"

	"puffincrank/internal/protocol"
)

// Hedging: a repeatable request is sent a second time, to another worker, while its first
// attempt is still in progress but unlikely to bring a response: its run will be ended by a
// shutdown of its node or of this one, or it has taken most of the time. The first complete
// response wins, and the other attempt is canceled.
//
// A second attempt counts against the service's retry budget and the request's limit of
// workers, like one that starts after the first is lost.

// ingressAttempt is one attempt of a repeatable request while it is in progress.
type ingressAttempt struct {
	proxy     *Proxy
	ctx       context.Context // of the request
	request   *request        // not changed elsewhere while the attempt is in progress
	startedAt time.Time
	cancel    context.CancelFunc // cancels it, as if its caller had left

	mu            sync.Mutex
	over          bool
	forStop       bool // it is hedged because its node or this one shuts down
	timer         *time.Timer
	hedgeTime     time.Time // of the timer
	second        *secondAttempt
	hedgeAttempts int // second attempts that reached no worker
}

// secondAttempt is the copy of a request that is sent beside its first attempt.
type secondAttempt struct {
	request *request
	cancel  context.CancelFunc
	done    chan struct{}
}

// ingressAttempts holds the attempts in progress of this ingress that may be hedged, by ID.
type ingressAttempts struct {
	mu   sync.Mutex
	byID map[string]*ingressAttempt
}

// beginAttempt registers an attempt and returns its context. The attempt is nil if it can't be
// hedged: the request is not repeatable, or has no other worker or no attempts left.
func (x *Proxy) beginAttempt(ctx context.Context, req *request, id string) (*ingressAttempt, context.Context) {
	if !req.arm.Repeatable || req.reached+1 >= req.arm.MaxAttempts || req.workerCount <= len(req.tried) {
		return nil, ctx
	}
	attemptCtx, cancel := context.WithCancel(ctx)
	attempt := &ingressAttempt{proxy: x, ctx: ctx, request: req, startedAt: time.Now(), cancel: cancel}
	x.ingressAttempts.mu.Lock()
	x.ingressAttempts.byID[id] = attempt
	x.ingressAttempts.mu.Unlock()
	if schedule := x.stopSchedule.Load(); schedule != nil {
		attempt.onIngressStop(schedule.WaitDeadline())
	}
	if hedgeTime, ok := x.hedgeOverdueAt(req); ok {
		attempt.hedgeAt(hedgeTime)
	}
	return attempt, attemptCtx
}

// hedgeOverdueAt is when a request that has used most of its time is hedged; only if such
// requests usually run for less than the rest of it.
func (x *Proxy) hedgeOverdueAt(req *request) (at time.Time, ok bool) {
	remaining := time.Until(req.deadline)
	rest := remaining * 4 / 10
	return req.deadline.Add(-rest), req.arm.Bulk == "" && x.usualRunTime(req.route.Name) <= rest
}

// usualRunTime is how long requests of a route run at workers as seen by this ingress, 0 if
// unknown.
func (x *Proxy) usualRunTime(route string) time.Duration {
	return time.Duration(x.balancer.UsualRunMS(route) * float64(time.Millisecond))
}

// onRunEnd handles the owner's notice of when it ends the attempt's run.
func (a *ingressAttempt) onRunEnd(end time.Time) {
	a.mu.Lock()
	a.forStop = true
	a.mu.Unlock()
	a.hedgeAt(hedgeBeforeEnd(a.startedAt, end, a.proxy.usualRunTime(a.request.route.Name)))
}

// onIngressStop handles a shutdown of this node, which waits for the attempt until the
// deadline.
func (a *ingressAttempt) onIngressStop(deadline time.Time) {
	at, ok := hedgeInStop(a.startedAt, deadline, a.proxy.usualRunTime(a.request.route.Name))
	if !ok || a.request.isHedge {
		return
	}
	a.mu.Lock()
	a.forStop = true
	a.mu.Unlock()
	a.hedgeAt(at)
}

// hedgeAt schedules a second attempt, unless an earlier time is already set.
func (a *ingressAttempt) hedgeAt(t time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.over || a.timer != nil && !t.Before(a.hedgeTime) {
		return
	}
	if a.timer != nil {
		a.timer.Stop()
	}
	a.setTimerLocked(t)
}

// setTimerLocked sets the timer; a.mu is held.
func (a *ingressAttempt) setTimerLocked(t time.Time) {
	a.hedgeTime = t
	a.timer = time.AfterFunc(time.Until(t), a.startHedge)
}

// startHedge starts a second attempt, unless one is in progress or the first is over.
func (a *ingressAttempt) startHedge() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.timer = nil
	if a.over || a.second != nil || a.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(a.ctx)
	second := &secondAttempt{request: a.copyOfRequest(), cancel: cancel, done: make(chan struct{})}
	if !a.proxy.group.Go("hedge", func(context.Context) { a.runHedge(ctx, second) }) {
		cancel()
		return
	}
	a.second = second
	a.proxy.hedgeCount.Add(1)
	a.proxy.decisions.add(Decision{Request: a.request.externalID(), Attempt: a.request.id, Step: stepHedged, Worker: a.request.entry.Worker})
}

// copyOfRequest copies the request for the second attempt. The first attempt is counted as
// having reached a worker.
func (a *ingressAttempt) copyOfRequest() *request {
	copied := *a.request
	copied.isHedge, copied.mayBorrowRetry, copied.allowEndingNode = true, a.forStop, a.hedgeAttempts > 0
	copied.attempts = max(copied.attempts, a.hedgeAttempts)
	copied.reached++
	copied.countedAsFirst = false
	copied.tried = maps.Clone(copied.tried)
	copied.skipped = nil
	copied.result, copied.lost, copied.fallback = protocol.AttemptResult{}, nil, nil
	copied.reason, copied.retryAfter, copied.reservedBytes, copied.lookups = "", 0, 0, 0
	return &copied
}

// runHedge runs the copy. A worker's response cancels the first attempt. If no worker took the
// copy and a shutdown will end the first attempt, the hedge is retried as long as that one goes
// on.
func (a *ingressAttempt) runHedge(ctx context.Context, second *secondAttempt) {
	defer second.cancel()
	a.proxy.runSteps(ctx, second.request)
	a.mu.Lock()
	defer a.mu.Unlock()
	defer close(second.done)
	switch {
	case a.over:
	case second.request.answered():
		a.cancel()
	case second.request.reached <= a.request.reached+1:
		// It reached no worker.
		a.second, a.hedgeAttempts = nil, second.request.attempts
		if a.forStop {
			a.setTimerLocked(time.Now().Add(a.proxy.lostRetryPause(second.request.retryAfter)))
		}
	}
}

// settle combines the first attempt's result, which stands in the request, with that of the
// second. It waits for the second unless the first has a worker's response.
func (a *ingressAttempt) settle() {
	first := a.request
	a.mu.Lock()
	second := a.second
	a.mu.Unlock()
	first.attempts = max(first.attempts, a.hedgeAttempts)
	if second == nil {
		return
	}
	if first.answered() {
		second.cancel()
		a.proxy.group.Go("hedge-dropped", func(context.Context) {
			<-second.done
			a.proxy.byteLimiter.release(second.request.reservedBytes, a.startedAt)
		})
		return
	}
	<-second.done
	first.mergeHedge(second.request)
}

// close marks the attempt as over, so that no second one starts.
func (a *ingressAttempt) close(id string) {
	a.proxy.ingressAttempts.mu.Lock()
	delete(a.proxy.ingressAttempts.byID, id)
	a.proxy.ingressAttempts.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.over = true
	if a.timer != nil {
		a.timer.Stop()
	}
}

// answered tells whether a worker has answered, other than with a failure of its own.
func (req *request) answered() bool {
	return req.result.Outcome == protocol.Done && req.result.Status < 500
}

// mergeHedge takes over the result of a second attempt: its response if that is better, and
// that it may have run without one.
func (req *request) mergeHedge(second *request) {
	req.attempts, req.noQueueAttempts, req.reached, req.reservedBytes = second.attempts, second.noQueueAttempts, max(req.reached, second.reached), req.reservedBytes+second.reservedBytes
	maps.Copy(req.tried, second.tried)
	if req.lost == nil {
		req.lost = second.lost
	}
	if second.result.Outcome == protocol.Done && (req.result.Outcome != protocol.Done || second.result.Status < req.result.Status) {
		req.result, req.entry = second.result, second.entry
		req.rules, req.route, req.arm, req.service = second.rules, second.route, second.arm, second.service
	}
}

// notifyAttemptsOfStop tells all attempts in progress until when this node waits for them.
func (x *Proxy) notifyAttemptsOfStop(deadline time.Time) {
	x.ingressAttempts.mu.Lock()
	all := make([]*ingressAttempt, 0, len(x.ingressAttempts.byID))
	for _, attempt := range x.ingressAttempts.byID {
		all = append(all, attempt)
	}
	x.ingressAttempts.mu.Unlock()
	for _, attempt := range all {
		attempt.onIngressStop(deadline)
	}
}
