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

// storeClient is the registry's client of the stores: it finds the leader, and reports of
// each change whether it was committed, refused or has an unknown outcome.
type storeClient struct {
	node         *transport.Node
	seeds        []string
	storeTimeout time.Duration // time within which one store must answer a read
	retryPause   time.Duration // wait between two rounds in which no leader was found
	mu           sync.Mutex
	leader       string
	members      []string
	unreachable  map[string]time.Time // when a store last failed to answer, by address
}

func newStoreClient(node *transport.Node, seeds []string, storeTimeout, retryPause time.Duration) *storeClient {
	return &storeClient{node: node, seeds: seeds, storeTimeout: storeTimeout, retryPause: retryPause, unreachable: map[string]time.Time{}}
}

// candidates returns the addresses to try: the last known leader first, and stores that
// were unreachable recently last. Other stores name a dead leader until they notice its
// absence.
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

// isUnreachable reports whether a store failed to answer recently. The caller holds mu.
func (c *storeClient) isUnreachable(addr string) bool {
	return time.Since(c.unreachable[addr]) < 2*c.storeTimeout
}

// observe updates the known leader and members from a store's response.
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

// markUnreachable records that a store did not answer. If the call's own context has ended,
// the store had too little time and is not marked.
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

// request tries the stores in turn until the leader answers. Once a store may have applied
// a change, no other store is tried, and the outcome is unknown.
func (c *storeClient) request(ctx context.Context, kind string, request any, idempotent bool) (statemachine.Result, error) {
	return c.requestWithin(ctx, kind, request, idempotent, c.storeTimeout, time.Time{})
}

// requestWithin is request with the time within which one store must answer a read, and the
// time after which a change is no longer sent to any store.
func (c *storeClient) requestWithin(ctx context.Context, kind string, request any, idempotent bool, timeout time.Duration, sendBefore time.Time) (statemachine.Result, error) {
	var lastErr error = fault.New(fault.Refused, "no store writes")
	for {
		tried := map[string]bool{}
		for addr := c.nextCandidate(tried); addr != ""; addr = c.nextCandidate(tried) {
			if ctx.Err() != nil || !sendBefore.IsZero() && !time.Now().Before(sendBefore) {
				return statemachine.Result{}, fault.New(fault.Refused, "no time left: %v", lastErr)
			}
			tried[addr] = true
			// A change may take all the remaining time, since cutting it off would make its
			// outcome unknown. A read is soon tried at another store.
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
			return statemachine.Result{}, fault.New(fault.Refused, "no store is connected to a majority: %v", lastErr)
		}
	}
}

// nextCandidate returns the next address to try: the leader if known, then all others, each
// once per round. It returns "" at the end of a round.
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

// proposeOnce proposes the command of a request that the client may retry; the stores apply
// it at most once.
func (c *storeClient) proposeOnce(ctx context.Context, kind string, command statemachine.Command, key *store.RequestKey) (statemachine.Result, error) {
	packed, err := statemachine.Pack(kind, command)
	if err != nil {
		return statemachine.Result{}, err
	}
	return c.request(ctx, "store.offer", store.ProposeRequest{Command: packed, Request: key}, false)
}

// proposeBefore proposes a command that must not be applied if it arrives after proposeBy.
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

// read does a confirmed read.
func (c *storeClient) read(ctx context.Context, query store.ReadRequest) (statemachine.Result, error) {
	return c.request(ctx, "store.read", query, true)
}

// watch waits for changes at any store; the store on this machine is the first seed.
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

// groupPuts reads the puts to a key group from the leader. A long wait is split into
// several requests, so that a store that fails in the meantime is soon replaced by another.
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

// removeStore removes a store from the control plane, if the remaining stores can form a
// majority.
func (r *Registry) removeStore(w http.ResponseWriter, req *http.Request) {
	ctx, cancel := r.withDeadline(req)
	defer cancel()
	id := chi.URLParam(req, "id")
	// A replica ID is never reused, so it identifies the request.
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
