package proxy

import (
	"context"
	"maps"
	"sync"
	"time"

	"puffincrank/internal/protocol"
)

// Hedging: a request that may be repeated is sent a second time, to another worker,
// while its first attempt goes on, when that is not likely to bring an answer: its
// run will be ended by a stop of its node or of this one, or it has taken the larger
// part of the time. The first whole answer wins, and the other attempt is ended.
//
// A second attempt counts among the repeats of its service and among the workers that
// one request may go to, as one that is begun when the first is lost.

// ingressAttempt is one send of a request that may be repeated, while it is under way.
type ingressAttempt struct {
	proxy     *Proxy
	ctx       context.Context // of the request
	request   *request        // not changed by others while the attempt is under way
	startedAt time.Time
	cancel    context.CancelFunc // ends it, as its caller's leaving would

	mu            sync.Mutex
	over          bool
	forStop       bool // a stop, of its node or of this one, is what it is hedged for
	timer         *time.Timer
	hedgeTime     time.Time // of the timer
	second        *secondAttempt
	hedgeAttempts int // of second attempts that came to no worker
}

// secondAttempt is the copy of a request that is sent beside its first attempt.
type secondAttempt struct {
	request *request
	cancel  context.CancelFunc
	done    chan struct{}
}

// ingressAttempts are those of this front that are under way and may be hedged, by their ids.
type ingressAttempts struct {
	mu   sync.Mutex
	byID map[string]*ingressAttempt
}

// beginAttempt notes an attempt; the context is that of the attempt. Nil where no second one
// may follow: the request may not be repeated, or has no other worker or tries left.
func (x *Proxy) beginAttempt(ctx context.Context, req *request, id string) (*ingressAttempt, context.Context) {
	if !req.arm.Repeatable || req.reached+1 >= req.arm.Tries || req.workerCount <= len(req.tried) {
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

// hedgeOverdueAt is when a request is hedged that has taken the larger part of its time,
// where such requests usually run for less than the rest of it.
func (x *Proxy) hedgeOverdueAt(req *request) (at time.Time, ok bool) {
	remaining := time.Until(req.deadline)
	rest := remaining * 4 / 10
	return req.deadline.Add(-rest), req.arm.Bulk == "" && x.usualRunTime(req.route.Name) <= rest
}

// usualRunTime is how long a request of a path runs at a worker, as far as this front knows;
// 0 when it does not.
func (x *Proxy) usualRunTime(route string) time.Duration {
	return time.Duration(x.balancer.UsualRunMS(route) * float64(time.Millisecond))
}

// onRunEnd takes in that the node beside its worker ends the attempt's run at a time.
func (a *ingressAttempt) onRunEnd(end time.Time) {
	a.mu.Lock()
	a.forStop = true
	a.mu.Unlock()
	a.hedgeAt(hedgeBeforeEnd(a.startedAt, end, a.proxy.usualRunTime(a.request.route.Name)))
}

// onIngressStop takes in that this node, told to end, waits for the attempt until a time.
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

// hedgeAt begins a second attempt at a time, or earlier if that was said before.
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

// startHedge begins a second attempt, unless one is under way or the first is over.
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

// copyOfRequest is the request as the second attempt goes on with it. The first one is
// at a worker, or on its way to one.
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

// runHedge sends the copy. A worker's answer ends the first attempt; where no worker took
// it and a stop will end the first, it is tried again as long as that goes on.
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
		// It came to no worker.
		a.second, a.hedgeAttempts = nil, second.request.attempts
		if a.forStop {
			a.setTimerLocked(time.Now().Add(a.proxy.lostRetryPause(second.request.retryAfter)))
		}
	}
}

// settle ends an attempt whose outcome stands in the request, and brings in that of the
// second one, which is waited for unless the first has a worker's answer.
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

// close tells that the attempt is over: no second one is begun any more.
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

// answered tells that a worker has answered, and not with a failure of its own.
func (req *request) answered() bool {
	return req.result.Outcome == protocol.Done && req.result.Status < 500
}

// mergeHedge takes in what became of a second attempt: its answer, if it has a better one,
// and that it may have run without one.
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

// notifyAttemptsOfStop tells all attempts under way that this node waits for them no longer than
// until a time.
func (x *Proxy) notifyAttemptsOfStop(deadline time.Time) {
	x.ingressAttempts.mu.Lock()
	all := make([]*ingressAttempt, 0, len(x.ingressAttempts.byID))
	for _, a := range x.ingressAttempts.byID {
		all = append(all, a)
	}
	x.ingressAttempts.mu.Unlock()
	for _, a := range all {
		a.onIngressStop(deadline)
	}
}
