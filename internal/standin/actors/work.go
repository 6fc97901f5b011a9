package actors

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"puffincrank/internal/standin/checker"
	"puffincrank/internal/task"
)

// send is one request on a worker's connection.
type send struct {
	k     *Worker
	c     net.Conn
	r     *bufio.Reader
	req   *http.Request
	body  []byte
	late  string // a surplus answer that comes before this one's
	after string // a surplus answer that comes before the next one's
	left  chan struct{}
	seen  chan struct{}
	v     *checker.Visit
	id    string
	end   time.Time
}

// listen waits for the next bytes, or for the end of the connection.
func (s *send) listen(context.Context) {
	if _, err := s.r.Peek(1); err != nil {
		close(s.left)
	}
	close(s.seen)
}

// rest waits for the next request; an idle connection is closed after a time.
func (s *send) rest(idle time.Duration) bool {
	if idle <= 0 {
		idle = time.Hour
	}
	t := time.NewTimer(idle)
	defer t.Stop()
	select {
	case <-s.seen:
	case <-t.C:
		_ = s.c.Close()
		<-s.seen
		return false
	}
	select {
	case <-s.left:
		return false
	default:
		return true
	}
}

// one handles the request and tells whether the connection goes on.
func (s *send) one(ctx context.Context) bool {
	k, h := s.k, s.req.Header
	s.id = h.Get(k.say.AttemptID)
	s.end = time.Now().Add(time.Minute)
	var given time.Duration
	if ms, err := strconv.ParseFloat(h.Get(k.say.Timeout), 64); err == nil {
		given = time.Duration(ms * float64(time.Millisecond))
		s.end = time.Now().Add(given)
	}
	if s.req.Method == http.MethodGet && s.req.URL.Path == k.W.Fitness && s.id == "" {
		return s.fitness()
	}
	s.v = &checker.Visit{Worker: k.Worker, Method: s.req.Method, URI: s.req.RequestURI, From: h.Get(k.say.CallerService), To: h.Get(k.say.ExpectedWorker), Body: checker.BodyOf(s.body), Given: given}
	k.wit.Arrive(s.v, s.id)
	switch {
	case s.id == "":
		return s.decline(400)
	case s.v.To != "" && s.v.To != k.Name:
		return s.decline(421)
	}
	switch ills := k.ill(s.c); {
	case ills.Shed > 0 && k.dice.share() < ills.Shed:
		return s.decline(503)
	case ills.Tear > 0 && k.dice.share() < ills.Tear:
		k.wit.Change(func() { s.v.Broke = true })
		tear(s.c)
		return false
	case ills.Hang > 0 && k.dice.share() < ills.Hang:
		// Whoever asked goes away at its own time; nothing is run.
		k.wit.Change(func() { s.v.Broke = true })
		<-s.left
		return false
	}
	switch k.room.enter(s.end, s.left) {
	case full:
		if k.W.Resets {
			tear(s.c)
			return false
		}
		return s.decline(503)
	case late:
		return s.decline(503)
	case gone:
		s.k.wit.Change(func() { s.v.Broke = s.k.is("over") })
		return false
	}
	defer k.room.leave()
	// The time may have run out in the queue; what is begun counts as run.
	if !time.Now().Before(s.end) {
		return s.decline(503)
	}
	k.wit.Change(func() { s.v.Start = time.Now() })
	return s.run(ctx)
}

// run does the work and answers.
func (s *send) run(ctx context.Context) bool {
	k := s.k
	long, calls := 60*time.Millisecond, []*Line(nil)
	size := 200
	if t := s.v.Try; t != nil {
		long = t.Work
		if p, ok := t.Plan.(Work); ok {
			calls, size = p.Calls, p.Back
		}
	}
	code := http.StatusOK
	if !s.work(ctx, k.pace(s.c, k.dice.about(long))) {
		return s.stop()
	}
	for _, l := range calls {
		if !k.call(ctx, l, s) {
			code = http.StatusInternalServerError
			break
		}
	}
	if !time.Now().Before(s.end) {
		code = http.StatusGatewayTimeout
	}
	ills := k.ill(s.c)
	if code == http.StatusOK && k.dice.share() < ills.Fail {
		code = http.StatusInternalServerError
	}
	select {
	case <-s.left:
		return s.stop()
	default:
	}
	if k.dice.share() < ills.Lose {
		k.wit.Change(func() { s.v.Broke, s.v.End = true, time.Now() })
		if k.dice.below(2) == 0 {
			tear(s.c)
		}
		return false
	}
	return s.answer(code, size, k.dice.share() < ills.Spoil)
}

// stop ends a run whose caller is gone, or at its time.
func (s *send) stop() bool {
	if !time.Now().Before(s.end) {
		select {
		case <-s.left:
		default:
			return s.answer(http.StatusGatewayTimeout, 20, false)
		}
	}
	// One that was ended broke off itself.
	s.k.wit.Change(func() { s.v.Broke, s.v.End = s.v.Broke || s.k.is("over"), time.Now() })
	return false
}

// work passes the time that the job takes; false means that the caller went
// away or the time ran out.
func (s *send) work(ctx context.Context, long time.Duration) bool {
	cut := time.Until(s.end)
	t := time.NewTimer(min(long, cut))
	defer t.Stop()
	select {
	case <-t.C:
		return long <= cut
	case <-s.left:
		return false
	case <-ctx.Done():
		return false
	}
}

// pace is what some work takes here and now.
func (k *Worker) pace(c net.Conn, d time.Duration) time.Duration {
	by := 1.0
	if k.W.Speed > 0 {
		by = k.W.Speed
	}
	if k.W.ColdBy > 1 && time.Since(k.born) < k.W.Cold {
		by *= k.W.ColdBy
	}
	if now, _ := k.room.load(); k.W.Crowd > 1 && k.W.Slots > 0 && now > k.W.Slots*3/4 {
		by *= 1 + (k.W.Crowd-1)*float64(now-k.W.Slots*3/4)/float64(max(k.W.Slots/4, 1))
	}
	if i := k.ill(c); i.Slow > 1 {
		by *= i.Slow
	}
	return time.Duration(float64(d) * by)
}

// call makes a request of the worker's own through the node beside it, within
// the time of the run that needs it.
func (k *Worker) call(ctx context.Context, l *Line, s *send) bool {
	left := min(time.Until(s.end), l.Left)
	ok := false
	over := make(chan struct{})
	ctx, end := context.WithCancel(ctx)
	if !k.g.Go("call", func(context.Context) {
		defer close(over)
		ok = k.calls.Job(ctx, l, left, s.v)
	}) {
		end()
		return false
	}
	select {
	case <-over:
	case <-s.left:
	}
	end()
	<-over
	return ok
}

func pause(ctx context.Context, d time.Duration) bool {
	task.Sleep(ctx, d)
	return ctx.Err() == nil
}
