package registry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"puffincrank/internal/fault"
	"puffincrank/internal/ledger"
	"puffincrank/internal/store"
	"puffincrank/internal/wire"
)

// stores is how a registry talks to the stores: it finds the writer and says
// what is known of each change.
type stores struct {
	n    *wire.Node
	seed []string
	wait time.Duration // how long one store may take
	rest time.Duration // pause when no store writes
	mu   sync.Mutex
	head string
	all  []string
}

func newStores(n *wire.Node, seed []string, wait, rest time.Duration) *stores {
	return &stores{n: n, seed: seed, wait: wait, rest: rest}
}

// list gives the addresses to try, the last known writer first.
func (c *stores) list() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := map[string]bool{"": true}
	var out []string
	for _, l := range [][]string{{c.head}, c.all, c.seed} {
		for _, a := range l {
			if !seen[a] {
				seen[a] = true
				out = append(out, a)
			}
		}
	}
	return out
}

// heed takes in what a store says of the writer and the members.
func (c *stores) heed(from string, g store.Given) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if g.Done {
		c.head = from
	} else if g.Head != "" && g.Head != from {
		c.head = g.Head
	} else if c.head == from {
		c.head = ""
	}
	if len(g.Members) > 0 {
		c.all = nil
		for _, m := range g.Members {
			c.all = append(c.all, m.Addr)
		}
	}
}

func (c *stores) lose(addr string) {
	c.mu.Lock()
	if c.head == addr {
		c.head = ""
	}
	c.mu.Unlock()
}

// ask goes round the stores until the writer answers. Once a store may have
// acted on a change, no other is asked: the outcome is unknown.
func (c *stores) ask(ctx context.Context, kind string, in any, again bool) (ledger.Receipt, error) {
	var last error = fault.New(fault.Refused, "no store writes")
	for {
		for _, at := range c.list() {
			if ctx.Err() != nil {
				return ledger.Receipt{}, fault.New(fault.Refused, "no time left: %v", last)
			}
			// A change has the whole time left, since a cut-off wait would
			// leave it unknown; a read is tried elsewhere soon.
			one, end := ctx, context.CancelFunc(func() {})
			if again {
				one, end = context.WithTimeout(ctx, c.wait)
			}
			g, err := wire.Ask[store.Given](one, c.n, at, kind, in)
			end()
			if err == nil {
				c.heed(at, g)
				if g.Done {
					return g.Receipt, nil
				}
				if g.Head != "" && g.Head != at {
					break
				}
				continue
			}
			c.lose(at)
			last = err
			if !again && !fault.Is(err, fault.Unsent) && !fault.Is(err, fault.Refused) {
				return ledger.Receipt{}, fault.Wrap(fault.Unknown, err, "change handed to the store")
			}
		}
		t := time.NewTimer(c.rest)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return ledger.Receipt{}, fault.New(fault.Refused, "no store in touch with a majority: %v", last)
		}
	}
}

// offer proposes a command.
func (c *stores) offer(ctx context.Context, kind string, cmd ledger.Command) (ledger.Receipt, error) {
	p, err := ledger.Pack(kind, cmd)
	if err != nil {
		return ledger.Receipt{}, err
	}
	return c.ask(ctx, "store.offer", store.Offer{Cmd: p}, false)
}

// read asks for a confirmed read.
func (c *stores) read(ctx context.Context, q store.Query) (ledger.Receipt, error) {
	return c.ask(ctx, "store.read", q, true)
}

// watch asks any store for changes; the own machine's is the first seed.
func (c *stores) watch(ctx context.Context, q store.Query) (ledger.Receipt, error) {
	var last error
	for _, at := range c.list() {
		g, err := wire.Ask[store.Given](ctx, c.n, at, "store.watch", q)
		if err == nil && g.Done {
			return g.Receipt, nil
		}
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	return ledger.Receipt{}, fault.Wrap(fault.Refused, last, "watch")
}

// removeStore takes a store out of the core, if those who stay can decide.
func (r *Registry) removeStore(w http.ResponseWriter, req *http.Request) {
	ctx, end := r.timed(req)
	defer end()
	id := chi.URLParam(req, "id")
	got, err := r.stores.ask(ctx, "store.remove", store.RemoveAsk{ID: id}, false)
	if err != nil {
		r.failed(w, err)
		return
	}
	answer(w, got, map[string]any{"store": id})
}
