package registry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"puffincrank/internal/fault"
	"puffincrank/internal/statemachine"
	"puffincrank/internal/store"
	"puffincrank/internal/transport"
)

// stores is how a registry talks to the stores: it finds the leader and says
// what is known of each change.
type stores struct {
	n            *transport.Node
	seeds        []string
	storeTimeout time.Duration // how long one store may take
	retryPause   time.Duration // pause when no store writes
	mu           sync.Mutex
	leader       string
	members      []string
	unreachable  map[string]time.Time // store to when it last did not answer
}

func newStores(n *transport.Node, seed []string, wait, rest time.Duration) *stores {
	return &stores{n: n, seeds: seed, storeTimeout: wait, retryPause: rest, unreachable: map[string]time.Time{}}
}

// candidates gives the addresses to try, the last known leader first, and last those
// that were unreachable just now: a dead leader is named by others until they miss it.
func (c *stores) candidates() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := map[string]bool{"": true}
	var out, late []string
	for _, l := range [][]string{{c.leader}, c.members, c.seeds} {
		for _, a := range l {
			if seen[a] {
				continue
			}
			seen[a] = true
			if c.isUnreachable(a) {
				late = append(late, a)
			} else {
				out = append(out, a)
			}
		}
	}
	return append(out, late...)
}

// isUnreachable tells that a store did not answer lately; mu is held.
func (c *stores) isUnreachable(a string) bool { return time.Since(c.unreachable[a]) < 2*c.storeTimeout }

// observe takes in what a store says of the leader and the members.
func (c *stores) observe(from string, g store.LeaderResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.unreachable, from)
	if g.Done {
		c.leader = from
	} else if g.LeaderAddr != "" && g.LeaderAddr != from && !c.isUnreachable(g.LeaderAddr) {
		c.leader = g.LeaderAddr
	} else if c.leader == from {
		c.leader = ""
	}
	if len(g.Members) > 0 {
		c.members = nil
		for _, m := range g.Members {
			c.members = append(c.members, m.Addr)
		}
	}
}

// markUnreachable notes a store that did not answer. One that had too little time to is
// not unreachable for that.
func (c *stores) markUnreachable(ctx context.Context, addr string) {
	c.mu.Lock()
	if ctx.Err() == nil {
		c.unreachable[addr] = time.Now()
	}
	if c.leader == addr {
		c.leader = ""
	}
	c.mu.Unlock()
}

// request goes round the stores until the leader answers. Once a store may have
// acted on a change, no other is asked: the outcome is unknown.
func (c *stores) request(ctx context.Context, kind string, in any, again bool) (statemachine.Result, error) {
	return c.requestWithin(ctx, kind, in, again, c.storeTimeout, time.Time{})
}

// requestWithin is ask with the time that one store may take to answer a read, and
// the moment after which a change is no longer sent anywhere.
func (c *stores) requestWithin(ctx context.Context, kind string, in any, again bool, long time.Duration, by time.Time) (statemachine.Result, error) {
	var last error = fault.New(fault.Refused, "no store writes")
	for {
		tried := map[string]bool{}
		for at := c.next(tried); at != ""; at = c.next(tried) {
			if ctx.Err() != nil || !by.IsZero() && !time.Now().Before(by) {
				return statemachine.Result{}, fault.New(fault.Refused, "no time left: %v", last)
			}
			tried[at] = true
			// A change has the whole time left, since a cut-off wait would
			// leave it unknown; a read is tried elsewhere soon.
			one, end := ctx, context.CancelFunc(func() {})
			if again {
				one, end = context.WithTimeout(ctx, long)
			}
			g, err := transport.Call[store.LeaderResponse](one, c.n, at, kind, in)
			end()
			if err == nil {
				c.observe(at, g)
				if g.Done {
					return g.Result, nil
				}
				continue
			}
			c.markUnreachable(ctx, at)
			last = err
			if !again && !fault.Is(err, fault.Unsent) && !fault.Is(err, fault.Refused) {
				return statemachine.Result{}, fault.Wrap(fault.Unknown, err, "change handed to the store")
			}
		}
		t := time.NewTimer(c.retryPause)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return statemachine.Result{}, fault.New(fault.Refused, "no store in touch with a majority: %v", last)
		}
	}
}

// next gives the address to try now: the leader as last heard of, then all
// others, each once in a round; "" at its end.
func (c *stores) next(tried map[string]bool) string {
	for _, a := range c.candidates() {
		if !tried[a] {
			return a
		}
	}
	return ""
}

// propose proposes a command.
func (c *stores) propose(ctx context.Context, kind string, cmd statemachine.Command) (statemachine.Result, error) {
	return c.proposeBefore(ctx, kind, cmd, time.Time{})
}

// proposeOnce proposes the command of a request that may be sent again.
func (c *stores) proposeOnce(ctx context.Context, kind string, cmd statemachine.Command, key *store.RequestKey) (statemachine.Result, error) {
	p, err := statemachine.Pack(kind, cmd)
	if err != nil {
		return statemachine.Result{}, err
	}
	return c.request(ctx, "store.offer", store.ProposeRequest{Command: p, Request: key}, false)
}

// proposeBefore proposes a command that must not be done when it comes later than by.
func (c *stores) proposeBefore(ctx context.Context, kind string, cmd statemachine.Command, by time.Time) (statemachine.Result, error) {
	p, err := statemachine.Pack(kind, cmd)
	if err != nil {
		return statemachine.Result{}, err
	}
	in := store.ProposeRequest{Command: p}
	if end, ok := ctx.Deadline(); ok && by.Before(end) && !by.IsZero() {
		in.ProposalMarginMS = (end.Sub(by) + time.Millisecond - 1).Milliseconds()
	}
	return c.requestWithin(ctx, "store.offer", in, false, c.storeTimeout, by)
}

// read asks for a confirmed read.
func (c *stores) read(ctx context.Context, q store.ReadRequest) (statemachine.Result, error) {
	return c.request(ctx, "store.read", q, true)
}

// watch asks any store for changes; the own machine's is the first seed.
func (c *stores) watch(ctx context.Context, q store.ReadRequest) (statemachine.Result, error) {
	var last error
	for _, at := range c.candidates() {
		g, err := transport.Call[store.LeaderResponse](ctx, c.n, at, "store.watch", q)
		if err == nil && g.Done {
			return g.Result, nil
		}
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	return statemachine.Result{}, fault.Wrap(fault.Refused, last, "watch")
}

// groupPuts asks the leader for the puts of a group. A long wait is made of parts,
// so that a store that went dark in the middle of it is left soon.
func (c *stores) groupPuts(ctx context.Context, q store.ReadRequest, wait, part time.Duration) (statemachine.Result, error) {
	end := time.Now().Add(wait)
	for {
		one := max(min(time.Until(end), part), 0)
		q.WaitMS = one.Milliseconds()
		got, err := c.requestWithin(ctx, "store.puts", q, true, one+c.storeTimeout, time.Time{})
		if err != nil || got.Code != statemachine.OK || len(got.Changes) > 0 || q.From == 0 || time.Until(end) < time.Millisecond {
			return got, err
		}
	}
}

// removeStore takes a store out of the core, if those who stay can decide.
func (r *Registry) removeStore(w http.ResponseWriter, req *http.Request) {
	ctx, end := r.withDeadline(req)
	defer end()
	id := chi.URLParam(req, "id")
	// A replica has its id for itself and for ever, so the id names the request.
	key := requestKey(w, req, "remove", []byte(id))
	if key == nil {
		return
	}
	got, known, err := r.earlierAnswer(ctx, key)
	if err == nil && !known {
		got, err = r.stores.request(ctx, "store.remove", store.RemoveRequest{ID: id, Request: key}, false)
	}
	if err != nil {
		r.answerFailure(w, err)
		return
	}
	answer(w, got, map[string]any{"store": id})
}
