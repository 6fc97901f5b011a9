package actors

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"puffincrank/internal/dialect"
	"puffincrank/internal/env"
	"puffincrank/internal/standin/checker"
	"puffincrank/internal/task"
)

// Client simulates the callers on one machine. They send their requests to its node.
type Client struct {
	Env                 env.Env
	Dialect             dialect.Dialect
	IngressAddr         string // the node's traffic address
	Machine             string // the machine's name in the records
	Recorder            *checker.Recorder
	Tasks               *task.Group
	ReuseShare          float64      // part of the requests sent on reused connections
	ImpatientShare      float64      // part of the requests that are retried at once and twice more, whatever Retry-After says
	earlyLeavesPerMille atomic.Int64 // how many of a thousand requests are abandoned early
	Paused              atomic.Bool  // while set, no requests are started
	closed              atomic.Bool  // the client's machine is gone
	random              *lockedRand
	name                string
	sequence            atomic.Int64
	pending             atomic.Int64
	mu                  sync.Mutex
	idle                []*clientConn
	conns               map[*clientConn]bool
}

// NewClient creates the callers of a node.
func NewClient(environment env.Env, dialect dialect.Dialect, ingressAddr, machine, name string, recorder *checker.Recorder, tasks *task.Group, seed uint64) *Client {
	client := &Client{Env: environment, Dialect: dialect, IngressAddr: ingressAddr, Machine: machine, Recorder: recorder, Tasks: tasks, ReuseShare: 0.6, ImpatientShare: 0.1, random: newLockedRand(seed), name: name}
	client.SetEarlyLeaveShare(defaultEarlyLeaveShare)
	return client
}

// defaultEarlyLeaveShare is the part of the requests whose callers leave early.
const defaultEarlyLeaveShare = 0.02

// SetEarlyLeaveShare sets the part of the requests whose callers leave before the answer.
func (c *Client) SetEarlyLeaveShare(part float64) { c.earlyLeavesPerMille.Store(int64(part * 1000)) }

// Load sends requests of one kind at the given rate until the context ends. It starts none
// while the client is paused or more than 2000 requests are pending.
func (c *Client) Load(ctx context.Context, line *RequestKind, rate func() float64) {
	for ctx.Err() == nil {
		perSecond := rate()
		if perSecond <= 0 {
			task.Sleep(ctx, 100*time.Millisecond)
			continue
		}
		task.Sleep(ctx, c.random.interval(perSecond))
		if ctx.Err() != nil || c.Paused.Load() || c.pending.Load() > 2000 {
			continue
		}
		c.pending.Add(1)
		if !c.Tasks.Go("job", func(ctx context.Context) {
			defer c.pending.Add(-1)
			c.Request(ctx, line, line.Timeout, nil)
		}) {
			c.pending.Add(-1)
		}
	}
}

// earlyLeaveDelay draws how long a caller that leaves early waits. Every second one waits less
// than half of the target latency, so that its request is likely being executed. The others
// wait between 10 % and 60 % of the timeout.
func (c *Client) earlyLeaveDelay(line *RequestKind, timeout time.Duration) time.Duration {
	if line.TargetLatency > 0 && c.random.intN(2) == 0 {
		return time.Millisecond + time.Duration(c.random.uint64()%uint64(line.TargetLatency/2))
	}
	return timeout/10 + time.Duration(c.random.uint64()%uint64(timeout/2))
}

// Pending returns the number of pending requests.
func (c *Client) Pending() int { return int(c.pending.Load()) }

// Request makes a request, with retries as far as they are allowed, and reports whether it was
// served. parent is the execution that makes a nested request, otherwise nil.
func (c *Client) Request(ctx context.Context, line *RequestKind, timeout time.Duration, parent *checker.Arrival) bool {
	name := fmt.Sprint(c.name, c.sequence.Add(1))
	deadline := time.Now().Add(timeout)
	retries := line.Retries
	impatient := parent == nil && c.random.fraction() < c.ImpatientShare
	if impatient {
		retries += 2
	}
	leavesEarly := parent == nil && c.random.fraction() < float64(c.earlyLeavesPerMille.Load())/1000
	if leavesEarly {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.earlyLeaveDelay(line, timeout))
		defer cancel()
	}
	for try := 0; try <= retries && ctx.Err() == nil && !c.closed.Load(); try++ {
		timeout := time.Until(deadline)
		if timeout < time.Millisecond {
			return false
		}
		attempt := c.newAttempt(line, name, try, timeout)
		attempt.Parent, attempt.LeavesEarly = parent, leavesEarly
		answer := c.attempt(ctx, attempt, line, try == 0 && c.random.fraction() < c.ReuseShare)
		if answer.Status/100 == 2 && answer.Complete {
			return true
		}
		if !mayRetry(attempt.Retryable, answer) {
			return false
		}
		wait := c.random.around(40 * time.Millisecond)
		if impatient {
			wait = time.Millisecond
		} else if answer.HasRetryAfter {
			wait = min(answer.RetryAfter, time.Until(deadline)/3)
		}
		task.Sleep(ctx, wait)
	}
	return false
}

// mayRetry reports whether a request may be retried after the answer.
func mayRetry(retryable bool, answer checker.Answer) bool {
	switch answer.Status {
	case 400, 401, 404, 413, 431:
		return false
	case 408, 421, 429, 503:
		return true
	}
	if answer.Status/100 == 2 && answer.Complete || answer.ClientClosed && !retryable {
		return false
	}
	return retryable || answer.ClosedBeforeRead
}

// newAttempt creates an attempt with its own ID.
func (c *Client) newAttempt(line *RequestKind, name string, try int, timeout time.Duration) *checker.Attempt {
	host, prefix := line.Host, line.Prefix
	if line.DrawTarget != nil {
		host, prefix = line.DrawTarget(c.random.uint64())
	}
	uri := ""
	if line.DrawURI != nil {
		host, uri = line.DrawURI(c.random.uint64())
	} else {
		uri = fmt.Sprintf("%s%x?k=%d", prefix, c.random.intN(1<<16), try)
	}
	attempt := &checker.Attempt{ID: fmt.Sprintf("%s.%d", name, try), Request: name, Kind: line.Kind, Ingress: c.Machine, Host: host, Method: line.Method,
		URI: uri, Timeout: timeout, WorkTime: line.WorkTime, Probe: line.DrawURI != nil, Start: time.Now()}
	attempt.Retryable = c.mayRunAgain(line, attempt)
	plan := ExecutionPlan{AnswerSize: line.AnswerSize/2 + c.random.intN(line.AnswerSize+1)}
	for _, o := range line.Calls {
		if c.random.fraction() < o.Share {
			plan.Calls = append(plan.Calls, o.Line)
		}
	}
	attempt.WorkerPlan = plan
	return attempt
}

// Probe sends one request without retries, to see which document is in force at this node.
func (c *Client) Probe(ctx context.Context, line *RequestKind) checker.Answer {
	attempt := c.newAttempt(line, fmt.Sprint(c.name, "p", c.sequence.Add(1)), 0, line.Timeout)
	attempt.Probe = true
	return c.attempt(ctx, attempt, line, false)
}

// attempt sends one attempt and returns its answer.
func (c *Client) attempt(ctx context.Context, attempt *checker.Attempt, line *RequestKind, reuse bool) checker.Answer {
	body := c.makeBody(line, attempt)
	attempt.Body = checker.BodyOf(body)
	c.Recorder.AttemptStarted(attempt)
	answer := c.send(ctx, attempt, body, reuse)
	c.Recorder.AttemptEnded(attempt, answer)
	return answer
}

func (c *Client) send(ctx context.Context, attempt *checker.Attempt, body []byte, reuse bool) checker.Answer {
	deadline := attempt.Start.Add(attempt.Timeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	conn := c.connect(ctx, reuse)
	if conn == nil {
		return checker.Answer{Reason: "no connection", ClosedBeforeRead: true, ClientClosed: ctx.Err() != nil}
	}
	c.Recorder.Update(func() { attempt.ReusedConn = conn.reused })
	answers := make(chan checker.Answer, 1)
	if !conn.expectAnswer(attempt, answers) {
		return checker.Answer{Reason: "connection closed meanwhile", ClosedBeforeRead: true}
	}
	err := conn.writeRequest(attempt, body, c, !reuse && c.random.intN(2) == 0)
	if err == nil {
		c.Recorder.AttemptSent(attempt)
	}
	unread := time.NewTimer(min(time.Second, attempt.Timeout/3))
	defer unread.Stop()
	for {
		select {
		case answer := <-answers:
			answer.RequestRead = answer.RequestRead || answer.Status != 0
			answer.ClosedBeforeRead = answer.Status == 0 && !answer.Malformed && !answer.RequestRead
			if conn.reusable(answer) {
				c.keepIdle(conn)
			} else {
				conn.close()
			}
			return answer
		case <-unread.C:
			if !attempt.Retryable || conn.requestRead() {
				continue
			}
			conn.close()
			return checker.Answer{Reason: "unread", ClientClosed: true}
		case <-ctx.Done():
			requestRead := conn.requestRead()
			conn.close()
			return checker.Answer{Reason: "client timeout expired", ClientClosed: true, RequestRead: requestRead}
		}
	}
}

// makeBody creates the body of a request. Some contain the text of an HTTP request, which must
// not be taken for one.
func (c *Client) makeBody(line *RequestKind, attempt *checker.Attempt) []byte {
	if line.Size <= 0 {
		return nil
	}
	content := make([]byte, max(line.Size/2+c.random.intN(line.Size+1), 1))
	text := fmt.Sprintf("%x ", c.random.uint64())
	if c.random.intN(8) == 0 {
		text = fmt.Sprintf("\r\n\r\n%s %s HTTP/1.1\r\nHost: %s\r\n%s: inside-%s\r\n\r\n", attempt.Method, attempt.URI, attempt.Host, c.Dialect.AttemptID, attempt.ID)
	}
	fillRepeating(content, text)
	return content
}
