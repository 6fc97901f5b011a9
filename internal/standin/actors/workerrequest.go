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

// workerRequest is one request on a worker's connection.
type workerRequest struct {
	worker        *Worker
	conn          net.Conn
	reader        *bufio.Reader
	req           *http.Request
	body          []byte
	surplusBefore string // a surplus answer that comes before this one's
	surplusAfter  string // a surplus answer that comes before the next one's
	callerLeft    chan struct{}
	inputSeen     chan struct{}
	arrival       *checker.Arrival
	attemptID     string
	deadline      time.Time
}

// watchCaller waits for the next bytes, or for the end of the connection.
func (s *workerRequest) watchCaller(context.Context) {
	if _, err := s.reader.Peek(1); err != nil {
		close(s.callerLeft)
	}
	close(s.inputSeen)
}

// awaitNext waits for the next request; an idle connection is closed after a time.
func (s *workerRequest) awaitNext(idle time.Duration) bool {
	if idle <= 0 {
		idle = time.Hour
	}
	timer := time.NewTimer(idle)
	defer timer.Stop()
	select {
	case <-s.inputSeen:
	case <-timer.C:
		_ = s.conn.Close()
		<-s.inputSeen
		return false
	}
	select {
	case <-s.callerLeft:
		return false
	default:
		return true
	}
}

// handle handles the request and tells whether the connection goes on.
func (s *workerRequest) handle(ctx context.Context) bool {
	worker, header := s.worker, s.req.Header
	s.attemptID = header.Get(worker.dialect.AttemptID)
	s.deadline = time.Now().Add(time.Minute)
	var timeout time.Duration
	if milliseconds, err := strconv.ParseFloat(header.Get(worker.dialect.Timeout), 64); err == nil {
		timeout = time.Duration(milliseconds * float64(time.Millisecond))
		s.deadline = time.Now().Add(timeout)
	}
	if s.req.Method == http.MethodGet && s.req.URL.Path == worker.Behavior.Fitness && s.attemptID == "" {
		return s.answerHealth()
	}
	s.arrival = &checker.Arrival{Worker: worker.Worker, Method: s.req.Method, URI: s.req.RequestURI, CallerService: header.Get(worker.dialect.CallerService), ExpectedWorker: header.Get(worker.dialect.ExpectedWorker), Body: checker.BodyOf(s.body), Timeout: timeout}
	worker.recorder.RecordArrival(s.arrival, s.attemptID)
	switch {
	case s.attemptID == "":
		return s.decline(400)
	case s.arrival.ExpectedWorker != "" && s.arrival.ExpectedWorker != worker.Name:
		return s.decline(421)
	}
	switch faults := worker.faultsFor(s.conn); {
	case faults.Shed > 0 && worker.random.fraction() < faults.Shed:
		return s.decline(503)
	case faults.Tear > 0 && worker.random.fraction() < faults.Tear:
		worker.recorder.Update(func() { s.arrival.WorkerFailed = true })
		reset(s.conn)
		return false
	case faults.Hang > 0 && worker.random.fraction() < faults.Hang:
		// Whoever asked goes away at its own time; nothing is run.
		worker.recorder.Update(func() { s.arrival.WorkerFailed = true })
		<-s.callerLeft
		return false
	}
	switch worker.slots.acquire(s.deadline, s.callerLeft) {
	case queueFull:
		if worker.Behavior.Resets {
			reset(s.conn)
			return false
		}
		return s.decline(503)
	case timedOut:
		return s.decline(503)
	case callerGone:
		s.worker.recorder.Update(func() { s.arrival.WorkerFailed = s.worker.inState("over") })
		return false
	}
	defer worker.slots.release()
	// The time may have run out in the queue; what is begun counts as run.
	if !time.Now().Before(s.deadline) {
		return s.decline(503)
	}
	worker.recorder.Update(func() { s.arrival.Start = time.Now() })
	return s.execute(ctx)
}

// execute does the work and answers.
func (s *workerRequest) execute(ctx context.Context) bool {
	worker := s.worker
	workTime, calls := 60*time.Millisecond, []*Line(nil)
	size := 200
	if attempt := s.arrival.Attempt; attempt != nil {
		workTime = attempt.WorkTime
		if plan, ok := attempt.WorkerPlan.(ExecutionPlan); ok {
			calls, size = plan.Calls, plan.AnswerSize
		}
	}
	code := http.StatusOK
	if !s.spendTime(ctx, worker.scaledTime(s.conn, worker.random.around(workTime))) {
		return s.abandon()
	}
	for _, line := range calls {
		if !worker.nestedCall(ctx, line, s) {
			code = http.StatusInternalServerError
			break
		}
	}
	if !time.Now().Before(s.deadline) {
		code = http.StatusGatewayTimeout
	}
	faults := worker.faultsFor(s.conn)
	if code == http.StatusOK && worker.random.fraction() < faults.Fail {
		code = http.StatusInternalServerError
	}
	select {
	case <-s.callerLeft:
		return s.abandon()
	default:
	}
	if worker.random.fraction() < faults.Lose {
		worker.recorder.Update(func() { s.arrival.WorkerFailed, s.arrival.End = true, time.Now() })
		if worker.random.intN(2) == 0 {
			reset(s.conn)
		}
		return false
	}
	return s.writeAnswer(code, size, worker.random.fraction() < faults.Spoil)
}

// abandon ends a run whose caller is gone, or at its time.
func (s *workerRequest) abandon() bool {
	if !time.Now().Before(s.deadline) {
		select {
		case <-s.callerLeft:
		default:
			return s.writeAnswer(http.StatusGatewayTimeout, 20, false)
		}
	}
	// One that was ended broke off itself.
	s.worker.recorder.Update(func() {
		s.arrival.WorkerFailed, s.arrival.End = s.arrival.WorkerFailed || s.worker.inState("over"), time.Now()
	})
	return false
}

// spendTime passes the time that the job takes; false means that the caller went
// away or the time ran out.
func (s *workerRequest) spendTime(ctx context.Context, workTime time.Duration) bool {
	remaining := time.Until(s.deadline)
	timer := time.NewTimer(min(workTime, remaining))
	defer timer.Stop()
	select {
	case <-timer.C:
		return workTime <= remaining
	case <-s.callerLeft:
		return false
	case <-ctx.Done():
		return false
	}
}

// scaledTime is what some work takes here and now.
func (k *Worker) scaledTime(conn net.Conn, base time.Duration) time.Duration {
	factor := 1.0
	if k.Behavior.Speed > 0 {
		factor = k.Behavior.Speed
	}
	if k.Behavior.ColdBy > 1 && time.Since(k.startedAt) < k.Behavior.Cold {
		factor *= k.Behavior.ColdBy
	}
	if inUse, _ := k.slots.load(); k.Behavior.Crowd > 1 && k.Behavior.Slots > 0 && inUse > k.Behavior.Slots*3/4 {
		factor *= 1 + (k.Behavior.Crowd-1)*float64(inUse-k.Behavior.Slots*3/4)/float64(max(k.Behavior.Slots/4, 1))
	}
	if faults := k.faultsFor(conn); faults.Slow > 1 {
		factor *= faults.Slow
	}
	return time.Duration(float64(base) * factor)
}

// nestedCall makes a request of the worker's own through the node beside it, within
// the time of the run that needs it.
func (k *Worker) nestedCall(ctx context.Context, line *Line, outer *workerRequest) bool {
	timeout := min(time.Until(outer.deadline), line.Left)
	ok := false
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(ctx)
	if !k.tasks.Go("call", func(context.Context) {
		defer close(done)
		ok = k.client.Request(ctx, line, timeout, outer.arrival)
	}) {
		cancel()
		return false
	}
	select {
	case <-done:
	case <-outer.callerLeft:
	}
	cancel()
	<-done
	return ok
}

func sleep(ctx context.Context, duration time.Duration) bool {
	task.Sleep(ctx, duration)
	return ctx.Err() == nil
}
