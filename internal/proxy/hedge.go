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

// attempt is one send of a request that may be repeated, while it is under way.
type attempt struct {
	x       *Proxy
	ctx     context.Context // of the request
	request *job            // not changed by others while the attempt is under way
	begun   time.Time
	end     context.CancelFunc // ends it, as its caller's leaving would

	mu     sync.Mutex
	over   bool
	stops  bool // a stop, of its node or of this one, is what it is hedged for
	timer  *time.Timer
	due    time.Time // of the timer
	second *secondAttempt
	sends  int // of second attempts that came to no worker
}

// secondAttempt is the copy of a request that is sent beside its first attempt.
type secondAttempt struct {
	request *job
	end     context.CancelFunc
	done    chan struct{}
}

// attempts are those of this front that are under way and may be hedged, by their ids.
type attempts struct {
	mu sync.Mutex
	by map[string]*attempt
}

// beginAttempt notes an attempt; the context is that of the attempt. Nil where no second one
// may follow: the request may not be repeated, or has no other worker or tries left.
func (x *Proxy) beginAttempt(ctx context.Context, j *job, id string) (*attempt, context.Context) {
	if !j.arm.Repeatable || j.came+1 >= j.arm.MaxAttempts || j.known <= len(j.tried) {
		return nil, ctx
	}
	own, end := context.WithCancel(ctx)
	a := &attempt{x: x, ctx: ctx, request: j, begun: time.Now(), end: end}
	x.attempts.mu.Lock()
	x.attempts.by[id] = a
	x.attempts.mu.Unlock()
	if plan := x.stop.Load(); plan != nil {
		a.waitsUntil(plan.WaitDeadline())
	}
	if at, ok := x.hedgeOverdueAt(j); ok {
		a.hedgeAt(at)
	}
	return a, own
}

// hedgeOverdueAt is when a request is hedged that has taken the larger part of its time,
// where such requests usually run for less than the rest of it.
func (x *Proxy) hedgeOverdueAt(j *job) (at time.Time, ok bool) {
	left := time.Until(j.end)
	rest := left * 4 / 10
	return j.end.Add(-rest), j.arm.Bulk == "" && x.usual(j.path.Name) <= rest
}

// usual is how long a request of a path runs at a worker, as far as this front knows;
// 0 when it does not.
func (x *Proxy) usual(path string) time.Duration {
	return time.Duration(x.pick.UsualRunMS(path) * float64(time.Millisecond))
}

// endsAt takes in that the node beside its worker ends the attempt's run at a time.
func (a *attempt) endsAt(t time.Time) {
	a.mu.Lock()
	a.stops = true
	a.mu.Unlock()
	a.hedgeAt(hedgeBeforeEnd(a.begun, t, a.x.usual(a.request.path.Name)))
}

// waitsUntil takes in that this node, told to end, waits for the attempt until a time.
func (a *attempt) waitsUntil(t time.Time) {
	at, ok := hedgeInStop(a.begun, t, a.x.usual(a.request.path.Name))
	if !ok || a.request.hedged {
		return
	}
	a.mu.Lock()
	a.stops = true
	a.mu.Unlock()
	a.hedgeAt(at)
}

// hedgeAt begins a second attempt at a time, or earlier if that was said before.
func (a *attempt) hedgeAt(t time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.over || a.timer != nil && !t.Before(a.due) {
		return
	}
	if a.timer != nil {
		a.timer.Stop()
	}
	a.arm(t)
}

// arm sets the timer; a.mu is held.
func (a *attempt) arm(t time.Time) {
	a.due = t
	a.timer = time.AfterFunc(time.Until(t), a.hedge)
}

// hedge begins a second attempt, unless one is under way or the first is over.
func (a *attempt) hedge() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.timer = nil
	if a.over || a.second != nil || a.ctx.Err() != nil {
		return
	}
	ctx, end := context.WithCancel(a.ctx)
	s := &secondAttempt{request: a.copyOfRequest(), end: end, done: make(chan struct{})}
	if !a.x.g.Go("hedge", func(context.Context) { a.runSecond(ctx, s) }) {
		end()
		return
	}
	a.second = s
	a.x.hedges.Add(1)
	a.x.trail.add(Decision{Request: a.request.name(), Attempt: a.request.id, Step: stepHedged, Worker: a.request.entry.Worker})
}

// copyOfRequest is the request as the second attempt goes on with it. The first one is
// at a worker, or on its way to one.
func (a *attempt) copyOfRequest() *job {
	j := *a.request
	j.hedged, j.borrows, j.any = true, a.stops, a.sends > 0
	j.sends = max(j.sends, a.sends)
	j.came++
	j.fresh = false
	j.tried = maps.Clone(j.tried)
	j.passed = nil
	j.back, j.lost, j.spare = protocol.AttemptResult{}, nil, nil
	j.why, j.come, j.took, j.looks = "", 0, 0, 0
	return &j
}

// runSecond sends the copy. A worker's answer ends the first attempt; where no worker took
// it and a stop will end the first, it is tried again as long as that goes on.
func (a *attempt) runSecond(ctx context.Context, s *secondAttempt) {
	defer s.end()
	a.x.run(ctx, s.request)
	a.mu.Lock()
	defer a.mu.Unlock()
	defer close(s.done)
	switch {
	case a.over:
	case s.request.answered():
		a.end()
	case s.request.came <= a.request.came+1:
		// It came to no worker.
		a.second, a.sends = nil, s.request.sends
		if a.stops {
			a.arm(time.Now().Add(a.x.pauseForLost(s.request.come)))
		}
	}
}

// settle ends an attempt whose outcome stands in the request, and brings in that of the
// second one, which is waited for unless the first has a worker's answer.
func (a *attempt) settle() {
	j := a.request
	a.mu.Lock()
	s := a.second
	a.mu.Unlock()
	j.sends = max(j.sends, a.sends)
	if s == nil {
		return
	}
	if j.answered() {
		s.end()
		a.x.g.Go("hedge-dropped", func(context.Context) {
			<-s.done
			a.x.load.free(s.request.took, a.begun)
		})
		return
	}
	<-s.done
	j.merge(s.request)
}

// close tells that the attempt is over: no second one is begun any more.
func (a *attempt) close(id string) {
	a.x.attempts.mu.Lock()
	delete(a.x.attempts.by, id)
	a.x.attempts.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.over = true
	if a.timer != nil {
		a.timer.Stop()
	}
}

// answered tells that a worker has answered, and not with a failure of its own.
func (j *job) answered() bool { return j.back.Outcome == protocol.Done && j.back.Status < 500 }

// merge takes in what became of a second attempt: its answer, if it has a better one,
// and that it may have run without one.
func (j *job) merge(s *job) {
	j.sends, j.rushes, j.came, j.took = s.sends, s.rushes, max(j.came, s.came), j.took+s.took
	maps.Copy(j.tried, s.tried)
	if j.lost == nil {
		j.lost = s.lost
	}
	if s.back.Outcome == protocol.Done && (j.back.Outcome != protocol.Done || s.back.Status < j.back.Status) {
		j.back, j.entry = s.back, s.entry
		j.rules, j.path, j.arm, j.service = s.rules, s.path, s.arm, s.service
	}
}

// attemptsWaitUntil tells all attempts under way that this node waits for them no longer than
// until a time.
func (x *Proxy) attemptsWaitUntil(t time.Time) {
	x.attempts.mu.Lock()
	all := make([]*attempt, 0, len(x.attempts.by))
	for _, a := range x.attempts.by {
		all = append(all, a)
	}
	x.attempts.mu.Unlock()
	for _, a := range all {
		a.waitsUntil(t)
	}
}
