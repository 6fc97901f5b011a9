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

// Client is the callers on one machine: they go to the node there.
type Client struct {
	E       env.Env
	Say     dialect.Dialect
	Front   string // the node's traffic address
	Machine string // its name for the witness
	Wit     *checker.Witness
	G       *task.Group
	Keep    float64      // part of the requests on kept connections
	Hasty   float64      // part that try again at once and more often, whatever they are told
	quit    atomic.Int64 // of a thousand, how many go away early
	Out     atomic.Bool
	gone    atomic.Bool // its machine is
	dice    *dice
	name    string
	seq     atomic.Int64
	under   atomic.Int64
	mu      sync.Mutex
	idle    []*wire
	wires   map[*wire]bool
}

// NewClient makes the callers of a node.
func NewClient(e env.Env, say dialect.Dialect, front, machine, name string, wit *checker.Witness, g *task.Group, seed uint64) *Client {
	c := &Client{E: e, Say: say, Front: front, Machine: machine, Wit: wit, G: g, Keep: 0.6, Hasty: 0.1, dice: newDice(seed), name: name}
	c.Quits(usualQuits)
	return c
}

// usualQuits is the part of the requests whose callers go away early.
const usualQuits = 0.02

// Quits sets which part of the requests' callers go away before their answers.
func (c *Client) Quits(part float64) { c.quit.Store(int64(part * 1000)) }

// Load sends a line's requests at a rate until the context ends. While Out is
// set the clients get no new work.
func (c *Client) Load(ctx context.Context, l *Line, rate func() float64) {
	for ctx.Err() == nil {
		r := rate()
		if r <= 0 {
			task.Sleep(ctx, 100*time.Millisecond)
			continue
		}
		task.Sleep(ctx, c.dice.gap(r))
		if ctx.Err() != nil || c.Out.Load() || c.under.Load() > 2000 {
			continue
		}
		c.under.Add(1)
		if !c.G.Go("job", func(ctx context.Context) {
			defer c.under.Add(-1)
			c.Job(ctx, l, l.Left, nil)
		}) {
			c.under.Add(-1)
		}
	}
}

// stays is how long one that goes away early waits: every second one less than
// half of its aim, when its request is likely at work, the others a good part of
// their time.
func (c *Client) stays(l *Line, left time.Duration) time.Duration {
	if l.Aim > 0 && c.dice.below(2) == 0 {
		return time.Millisecond + time.Duration(c.dice.word()%uint64(l.Aim/2))
	}
	return left/10 + time.Duration(c.dice.word()%uint64(left/2))
}

// Under tells how many jobs it has under way.
func (c *Client) Under() int { return int(c.under.Load()) }

// Job makes a request and tries again as far as it may; it tells whether it
// was served. By is the run that needs it, of a nested one.
func (c *Client) Job(ctx context.Context, l *Line, left time.Duration, by *checker.Visit) bool {
	job := fmt.Sprint(c.name, c.seq.Add(1))
	end := time.Now().Add(left)
	further := l.Further
	hasty := by == nil && c.dice.share() < c.Hasty
	if hasty {
		further += 2
	}
	early := by == nil && c.dice.share() < float64(c.quit.Load())/1000
	if early {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, c.stays(l, left))
		defer stop()
	}
	for n := 0; n <= further && ctx.Err() == nil && !c.gone.Load(); n++ {
		left := time.Until(end)
		if left < time.Millisecond {
			return false
		}
		t := c.draft(l, job, n, left)
		t.By, t.Early = by, early
		a := c.try(ctx, t, l, n == 0 && c.dice.share() < c.Keep)
		if a.Status/100 == 2 && a.Whole {
			return true
		}
		if !again(l.Repeat, a) {
			return false
		}
		wait := c.dice.about(40 * time.Millisecond)
		if hasty {
			wait = time.Millisecond
		} else if a.HasCome {
			wait = min(a.Come, time.Until(end)/3)
		}
		task.Sleep(ctx, wait)
	}
	return false
}

// again tells whether a request may be tried once more after an answer.
func again(repeat bool, a checker.Answer) bool {
	switch a.Status {
	case 400, 401, 404, 413, 431:
		return false
	case 408, 421, 429, 503:
		return true
	}
	if a.Status/100 == 2 && a.Whole || a.GaveUp && !repeat {
		return false
	}
	return repeat || a.ClosedBefore
}

// draft makes a try with an id of its own.
func (c *Client) draft(l *Line, job string, n int, left time.Duration) *checker.Try {
	at, prefix := l.Host, l.Prefix
	if l.Pick != nil {
		at, prefix = l.Pick(c.dice.word())
	}
	t := &checker.Try{ID: fmt.Sprintf("%s.%d", job, n), Job: job, Kind: l.Kind, Front: c.Machine, Host: at, Method: l.Method,
		URI: fmt.Sprintf("%s%x?k=%d", prefix, c.dice.below(1<<16), n), Repeat: l.Repeat, Left: left, Work: l.Work, From: time.Now()}
	w := Work{Back: l.Back/2 + c.dice.below(l.Back+1)}
	for _, o := range l.Calls {
		if c.dice.share() < o.Share {
			w.Calls = append(w.Calls, o.Line)
		}
	}
	t.Plan = w
	return t
}

// Probe sends one request directly, to see which document is in force here.
func (c *Client) Probe(ctx context.Context, l *Line) checker.Answer {
	t := c.draft(l, fmt.Sprint(c.name, "p", c.seq.Add(1)), 0, l.Left)
	t.Probe = true
	return c.try(ctx, t, l, false)
}

// try sends one request and waits for what comes of it.
func (c *Client) try(ctx context.Context, t *checker.Try, l *Line, kept bool) checker.Answer {
	body := c.body(l, t)
	t.Body = checker.BodyOf(body)
	c.Wit.Send(t)
	a := c.send(ctx, t, body, kept)
	c.Wit.Ended(t, a)
	return a
}

func (c *Client) send(ctx context.Context, t *checker.Try, body []byte, kept bool) checker.Answer {
	end := t.From.Add(t.Left)
	ctx, stop := context.WithDeadline(ctx, end)
	defer stop()
	w := c.take(ctx, kept)
	if w == nil {
		return checker.Answer{Why: "no connection", ClosedBefore: true, GaveUp: ctx.Err() != nil}
	}
	c.Wit.Change(func() { t.Kept = w.used })
	to := make(chan checker.Answer, 1)
	if !w.expect(t, to) {
		return checker.Answer{Why: "closed meanwhile", ClosedBefore: true}
	}
	err := w.write(t, body, c, !kept && c.dice.below(2) == 0)
	if err == nil {
		c.Wit.Sent(t)
	}
	unread := time.NewTimer(min(time.Second, t.Left/3))
	defer unread.Stop()
	for {
		select {
		case a := <-to:
			a.Taken = a.Taken || a.Status != 0
			a.ClosedBefore = a.Status == 0 && !a.Broken && !a.Taken
			if w.good(a) {
				c.keep(w)
			} else {
				w.shut()
			}
			return a
		case <-unread.C:
			if !t.Repeat || w.taken() {
				continue
			}
			w.shut()
			return checker.Answer{Why: "unread", GaveUp: true}
		case <-ctx.Done():
			taken := w.taken()
			w.shut()
			return checker.Answer{Why: "time up", GaveUp: true, Taken: taken}
		}
	}
}

// body makes a body; some hold a request of their own, which must stay a body.
func (c *Client) body(l *Line, t *checker.Try) []byte {
	if l.Size <= 0 {
		return nil
	}
	out := make([]byte, max(l.Size/2+c.dice.below(l.Size+1), 1))
	text := fmt.Sprintf("%x ", c.dice.word())
	if c.dice.below(8) == 0 {
		text = fmt.Sprintf("\r\n\r\n%s %s HTTP/1.1\r\nHost: %s\r\n%s: inside-%s\r\n\r\n", t.Method, t.URI, t.Host, c.Say.AttemptID, t.ID)
	}
	fill(out, text)
	return out
}
