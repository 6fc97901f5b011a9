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

// workerRequest is one request on a worker's connection. callerLeft is closed when the
// connection ends, inputSeen when that happens or the next bytes arrive.
type workerRequest struct {
	worker        *Worker
	conn          net.Conn
	reader        *bufio.Reader
	request       *http.Request
	body          []byte
	surplusBefore string // a duplicate answer to write before this request's
	surplusAfter  string // a duplicate answer to write before the next request's
	callerLeft    chan struct{}
	inputSeen     chan struct{}
	arrival       *checker.Arrival
	attemptID     string
	deadline      time.Time
}

// watchCaller waits for the next bytes or the end of the connection.
func (r *workerRequest) watchCaller(context.Context) {
	if _, err := r.reader.Peek(1); err != nil {
		close(r.callerLeft)
	}
	close(r.inputSeen)
}

// awaitNext waits for the next request and reports whether there is one. It closes the
// connection after the idle time.
func (r *workerRequest) awaitNext(idle time.Duration) bool {
	if idle <= 0 {
		idle = time.Hour
	}
	timer := time.NewTimer(idle)
	defer timer.Stop()
	select {
	case <-r.inputSeen:
	case <-timer.C:
		_ = r.conn.Close()
		<-r.inputSeen
		return false
	}
	select {
	case <-r.callerLeft:
		return false
	default:
		return true
	}
}

// handle handles the request and reports whether the connection stays open.
func (r *workerRequest) handle(ctx context.Context) bool {
	worker, header := r.worker, r.request.Header
	r.attemptID = header.Get(worker.dialect.AttemptID)
	r.deadline = time.Now().Add(time.Minute)
	var timeout time.Duration
	if milliseconds, err := strconv.ParseFloat(header.Get(worker.dialect.Timeout), 64); err == nil {
		timeout = time.Duration(milliseconds * float64(time.Millisecond))
		r.deadline = time.Now().Add(timeout)
	}
	if r.request.Method == http.MethodGet && r.request.URL.Path == worker.Behavior.HealthPath && r.attemptID == "" {
		return r.answerHealth()
	}
	r.arrival = &checker.Arrival{Worker: worker.Worker, Method: r.request.Method, URI: r.request.RequestURI, CallerService: header.Get(worker.dialect.CallerService), ExpectedWorker: header.Get(worker.dialect.ExpectedWorker), Body: checker.BodyOf(r.body), Timeout: timeout}
	worker.recorder.RecordArrival(r.arrival, r.attemptID)
	switch {
	case r.attemptID == "":
		return r.decline(400)
	case r.arrival.ExpectedWorker != "" && r.arrival.ExpectedWorker != worker.Name:
		return r.decline(421)
	}
	switch faults := worker.faultsFor(r.conn); {
	case faults.Shed > 0 && worker.random.fraction() < faults.Shed:
		return r.decline(503)
	case faults.Tear > 0 && worker.random.fraction() < faults.Tear:
		worker.recorder.Update(func() { r.arrival.WorkerFailed = true })
		reset(r.conn)
		return false
	case faults.Hang > 0 && worker.random.fraction() < faults.Hang:
		// Neither execute nor answer the request: wait until the caller leaves.
		worker.recorder.Update(func() { r.arrival.WorkerFailed = true })
		<-r.callerLeft
		return false
	}
	switch worker.slots.acquire(r.deadline, r.callerLeft) {
	case queueFull:
		if worker.Behavior.ResetsWhenFull {
			reset(r.conn)
			return false
		}
		return r.decline(503)
	case timedOut:
		return r.decline(503)
	case callerGone:
		r.worker.recorder.Update(func() { r.arrival.WorkerFailed = r.worker.inState("over") })
		return false
	}
	defer worker.slots.release()
	// The timeout may have expired in the queue. From here on the request counts as executed.
	if !time.Now().Before(r.deadline) {
		return r.decline(503)
	}
	worker.recorder.Update(func() { r.arrival.Start = time.Now() })
	return r.execute(ctx)
}

// execute executes the request and answers it.
func (r *workerRequest) execute(ctx context.Context) bool {
	worker := r.worker
	workTime, calls := 60*time.Millisecond, []*RequestKind(nil)
	size := 200
	if attempt := r.arrival.Attempt; attempt != nil {
		workTime = attempt.WorkTime
		if plan, ok := attempt.WorkerPlan.(ExecutionPlan); ok {
			calls, size = plan.Calls, plan.AnswerSize
		}
	}
	code := http.StatusOK
	if !r.simulateWork(ctx, worker.scaledTime(r.conn, worker.random.around(workTime))) {
		return r.abandon()
	}
	for _, line := range calls {
		if !worker.nestedCall(ctx, line, r) {
			code = http.StatusInternalServerError
			break
		}
	}
	if !time.Now().Before(r.deadline) {
		code = http.StatusGatewayTimeout
	}
	faults := worker.faultsFor(r.conn)
	if code == http.StatusOK && worker.random.fraction() < faults.Fail {
		code = http.StatusInternalServerError
	}
	select {
	case <-r.callerLeft:
		return r.abandon()
	default:
	}
	if worker.random.fraction() < faults.Lose {
		worker.recorder.Update(func() { r.arrival.WorkerFailed, r.arrival.End = true, time.Now() })
		if worker.random.intN(2) == 0 {
			reset(r.conn)
		}
		return false
	}
	return r.writeAnswer(code, size, worker.random.fraction() < faults.Spoil)
}

// abandon ends an execution whose caller left or whose deadline passed.
func (r *workerRequest) abandon() bool {
	if !time.Now().Before(r.deadline) {
		select {
		case <-r.callerLeft:
		default:
			return r.writeAnswer(http.StatusGatewayTimeout, 20, false)
		}
	}
	// A worker that was killed is itself the cause of the failure.
	r.worker.recorder.Update(func() {
		r.arrival.WorkerFailed, r.arrival.End = r.arrival.WorkerFailed || r.worker.inState("over"), time.Now()
	})
	return false
}

// simulateWork waits for the time that the work takes. It returns false if the caller left or
// the deadline passed.
func (r *workerRequest) simulateWork(ctx context.Context, workTime time.Duration) bool {
	remaining := time.Until(r.deadline)
	timer := time.NewTimer(min(workTime, remaining))
	defer timer.Stop()
	select {
	case <-timer.C:
		return workTime <= remaining
	case <-r.callerLeft:
		return false
	case <-ctx.Done():
		return false
	}
}

// scaledTime scales the base time of some work by the worker's speed, cold start, load and
// current faults.
func (w *Worker) scaledTime(conn net.Conn, base time.Duration) time.Duration {
	factor := 1.0
	if w.Behavior.TimeFactor > 0 {
		factor = w.Behavior.TimeFactor
	}
	if w.Behavior.ColdStartFactor > 1 && time.Since(w.startedAt) < w.Behavior.ColdStart {
		factor *= w.Behavior.ColdStartFactor
	}
	if inUse, _ := w.slots.load(); w.Behavior.LoadFactor > 1 && w.Behavior.Slots > 0 && inUse > w.Behavior.Slots*3/4 {
		factor *= 1 + (w.Behavior.LoadFactor-1)*float64(inUse-w.Behavior.Slots*3/4)/float64(max(w.Behavior.Slots/4, 1))
	}
	if faults := w.faultsFor(conn); faults.Slow > 1 {
		factor *= faults.Slow
	}
	return time.Duration(float64(base) * factor)
}

// nestedCall makes a nested request through the node beside the worker, within the deadline of
// the outer request. It reports whether it was served.
func (w *Worker) nestedCall(ctx context.Context, line *RequestKind, outer *workerRequest) bool {
	timeout := min(time.Until(outer.deadline), line.Timeout)
	ok := false
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(ctx)
	if !w.tasks.Go("call", func(context.Context) {
		defer close(done)
		ok = w.client.Request(ctx, line, timeout, outer.arrival)
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
