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

// storeClient is how a registry talks to the stores: it finds the leader and says
// what is known of each change.
type storeClient struct {
	node         *transport.Node
	seeds        []string
	storeTimeout time.Duration // how long one store may take
	retryPause   time.Duration // pause when no store writes
	mu           sync.Mutex
	leader       string
	members      []string
	unreachable  map[string]time.Time // store to when it last did not answer
}

func newStoreClient(node *transport.Node, seeds []string, storeTimeout, retryPause time.Duration) *storeClient {
	return &storeClient{node: node, seeds: seeds, storeTimeout: storeTimeout, retryPause: retryPause, unreachable: map[string]time.Time{}}
}

// candidates gives the addresses to try, the last known leader first, and last those
// that were unreachable just now: a dead leader is named by others until they miss it.
func (c *storeClient) candidates() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := map[string]bool{"": true}
	var reachable, unreachable []string
	for _, addrs := range [][]string{{c.leader}, c.members, c.seeds} {
		for _, addr := range addrs {
			if seen[addr] {
				continue
			}
			seen[addr] = true
			if c.isUnreachable(addr) {
				unreachable = append(unreachable, addr)
			} else {
				reachable = append(reachable, addr)
			}
		}
	}
	return append(reachable, unreachable...)
}

// isUnreachable tells that a store did not answer lately; mu is held.
func (c *storeClient) isUnreachable(addr string) bool {
	return time.Since(c.unreachable[addr]) < 2*c.storeTimeout
}

// observe takes in what a store says of the leader and the members.
func (c *storeClient) observe(from string, response store.LeaderResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.unreachable, from)
	if response.Done {
		c.leader = from
	} else if response.LeaderAddr != "" && response.LeaderAddr != from && !c.isUnreachable(response.LeaderAddr) {
		c.leader = response.LeaderAddr
	} else if c.leader == from {
		c.leader = ""
	}
	if len(response.Members) > 0 {
		c.members = nil
		for _, member := range response.Members {
			c.members = append(c.members, member.Addr)
		}
	}
}

// markUnreachable notes a store that did not answer. One that had too little time to is
// not unreachable for that.
func (c *storeClient) markUnreachable(ctx context.Context, addr string) {
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
func (c *storeClient) request(ctx context.Context, kind string, request any, idempotent bool) (statemachine.Result, error) {
	return c.requestWithin(ctx, kind, request, idempotent, c.storeTimeout, time.Time{})
}

// requestWithin is ask with the time that one store may take to answer a read, and
// the moment after which a change is no longer sent anywhere.
func (c *storeClient) requestWithin(ctx context.Context, kind string, request any, idempotent bool, timeout time.Duration, sendBefore time.Time) (statemachine.Result, error) {
	var lastErr error = fault.New(fault.Refused, "no store writes")
	for {
		tried := map[string]bool{}
		for addr := c.nextCandidate(tried); addr != ""; addr = c.nextCandidate(tried) {
			if ctx.Err() != nil || !sendBefore.IsZero() && !time.Now().Before(sendBefore) {
				return statemachine.Result{}, fault.New(fault.Refused, "no time left: %v", lastErr)
			}
			tried[addr] = true
			// A change has the whole time left, since a cut-off wait would
			// leave it unknown; a read is tried elsewhere soon.
			callCtx, cancel := ctx, context.CancelFunc(func() {})
			if idempotent {
				callCtx, cancel = context.WithTimeout(ctx, timeout)
			}
			response, err := transport.Call[store.LeaderResponse](callCtx, c.node, addr, kind, request)
			cancel()
			if err == nil {
				c.observe(addr, response)
				if response.Done {
					return response.Result, nil
				}
				continue
			}
			c.markUnreachable(ctx, addr)
			lastErr = err
			if !idempotent && !fault.Is(err, fault.Unsent) && !fault.Is(err, fault.Refused) {
				return statemachine.Result{}, fault.Wrap(fault.Unknown, err, "change handed to the store")
			}
		}
		timer := time.NewTimer(c.retryPause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return statemachine.Result{}, fault.New(fault.Refused, "no store in touch with a majority: %v", lastErr)
		}
	}
}

// nextCandidate gives the address to try now: the leader as last heard of, then all
// others, each once in a round; "" at its end.
func (c *storeClient) nextCandidate(tried map[string]bool) string {
	for _, addr := range c.candidates() {
		if !tried[addr] {
			return addr
		}
	}
	return ""
}

// propose proposes a command.
func (c *storeClient) propose(ctx context.Context, kind string, command statemachine.Command) (statemachine.Result, error) {
	return c.proposeBefore(ctx, kind, command, time.Time{})
}

// proposeOnce proposes the command of a request that may be sent again.
func (c *storeClient) proposeOnce(ctx context.Context, kind string, command statemachine.Command, key *store.RequestKey) (statemachine.Result, error) {
	packed, err := statemachine.Pack(kind, command)
	if err != nil {
		return statemachine.Result{}, err
	}
	return c.request(ctx, "store.offer", store.ProposeRequest{Command: packed, Request: key}, false)
}

// proposeBefore proposes a command that must not be done when it comes later than by.
func (c *storeClient) proposeBefore(ctx context.Context, kind string, command statemachine.Command, proposeBy time.Time) (statemachine.Result, error) {
	packed, err := statemachine.Pack(kind, command)
	if err != nil {
		return statemachine.Result{}, err
	}
	request := store.ProposeRequest{Command: packed}
	if deadline, ok := ctx.Deadline(); ok && proposeBy.Before(deadline) && !proposeBy.IsZero() {
		request.ProposalMarginMS = (deadline.Sub(proposeBy) + time.Millisecond - 1).Milliseconds()
	}
	return c.requestWithin(ctx, "store.offer", request, false, c.storeTimeout, proposeBy)
}

// read asks for a confirmed read.
func (c *storeClient) read(ctx context.Context, query store.ReadRequest) (statemachine.Result, error) {
	return c.request(ctx, "store.read", query, true)
}

// watch asks any store for changes; the own machine's is the first seed.
func (c *storeClient) watch(ctx context.Context, query store.ReadRequest) (statemachine.Result, error) {
	var lastErr error
	for _, addr := range c.candidates() {
		response, err := transport.Call[store.LeaderResponse](ctx, c.node, addr, "store.watch", query)
		if err == nil && response.Done {
			return response.Result, nil
		}
		lastErr = err
		if ctx.Err() != nil {
			break
		}
	}
	return statemachine.Result{}, fault.Wrap(fault.Refused, lastErr, "watch")
}

// groupPuts asks the leader for the puts of a group. A long wait is made of parts,
// so that a store that went dark in the middle of it is left soon.
func (c *storeClient) groupPuts(ctx context.Context, query store.ReadRequest, maxWait, maxPoll time.Duration) (statemachine.Result, error) {
	deadline := time.Now().Add(maxWait)
	for {
		wait := max(min(time.Until(deadline), maxPoll), 0)
		query.WaitMS = wait.Milliseconds()
		result, err := c.requestWithin(ctx, "store.puts", query, true, wait+c.storeTimeout, time.Time{})
		if err != nil || result.Code != statemachine.OK || len(result.Changes) > 0 || query.From == 0 || time.Until(deadline) < time.Millisecond {
			return result, err
		}
	}
}

// removeStore takes a store out of the core, if those who stay can decide.
func (r *Registry) removeStore(w http.ResponseWriter, req *http.Request) {
	ctx, cancel := r.withDeadline(req)
	defer cancel()
	id := chi.URLParam(req, "id")
	// A replica has its id for itself and for ever, so the id names the request.
	key := requestKey(w, req, "remove", []byte(id))
	if key == nil {
		return
	}
	result, known, err := r.earlierResult(ctx, key)
	if err == nil && !known {
		result, err = r.stores.request(ctx, "store.remove", store.RemoveRequest{ID: id, Request: key}, false)
	}
	if err != nil {
		r.writeStoreError(w, err)
		return
	}
	writeResult(w, result, map[string]any{"store": id})
}
