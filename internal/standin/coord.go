package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"puffincrank/internal/env"
	"puffincrank/internal/task"
)

// More counts of what must never happen.
const (
	TwoHold   = "two callers held one lock at once"
	FenceFell = "a fence, number or revision was given twice or fell"
	OldRead   = "a key was read older than an acknowledged write"
	WatchGap  = "a watch missed or repeated a change"
)

// CoordKinds lists the counts of coordination.
var CoordKinds = []string{TwoHold, FenceFell, OldRead, WatchGap}

// Coord is a set of callers of locks, numbers, keys and watches.
type Coord struct {
	g    *task.Group
	obs  *Observer
	at   []string // outer addresses
	way  *http.Transport
	wait time.Duration
	mu   sync.Mutex
	held map[string]hold
	high map[string]uint64          // number's name to the highest given
	seen map[string]map[uint64]bool // number's name to all that were given
	acks map[string]uint64          // key to the highest acknowledged revision
	puts map[uint64]bool            // acknowledged revisions
	Done map[string]int             // outcome to count
	Lost []string                   // calls without a certain outcome, and why
	Skip func(at string) bool       // nodes that nobody asks just now
}

type hold struct {
	owner string
	fence uint64
	until time.Time
}

// NewCoord makes callers of the given nodes.
func NewCoord(e env.Env, at []string, obs *Observer) *Coord {
	c := &Coord{g: task.New(context.Background()), obs: obs, at: at, wait: 4 * time.Second, held: map[string]hold{}, high: map[string]uint64{},
		seen: map[string]map[uint64]bool{}, acks: map[string]uint64{}, puts: map[uint64]bool{}, Done: map[string]int{}}
	c.way = &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, a string) (net.Conn, error) { return e.Net.Dial(ctx, a) }}
	return c
}

type coordBack struct {
	code  int
	Rev   uint64 `json:"rev"`
	Num   uint64 `json:"number"`
	Fence uint64 `json:"fence"`
	Value string `json:"value"`
	Next  uint64 `json:"next"`
	Old   uint64 `json:"oldest"`
	List  []struct {
		Rev uint64 `json:"rev"`
		Key string `json:"key"`
	} `json:"changes"`
}

func (c *Coord) ask(method, uri string, body any) coordBack {
	var out coordBack
	ctx, end := context.WithTimeout(c.g.Context(), c.wait)
	defer end()
	var in io.Reader
	if body != nil {
		b, _ := json.Marshal(body)
		in = strings.NewReader(string(b))
	}
	at := c.at[rand.IntN(len(c.at))]
	for try := 0; try < 20 && c.Skip != nil && c.Skip(at); try++ {
		at = c.at[rand.IntN(len(c.at))]
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+at+uri, in)
	if err != nil {
		return out
	}
	w, err := c.way.RoundTrip(r)
	if err == nil {
		raw, err := io.ReadAll(w.Body)
		_ = w.Body.Close()
		if err == nil {
			out.code = w.StatusCode
			_ = json.Unmarshal(raw, &out)
			if out.code == http.StatusGatewayTimeout {
				c.mu.Lock()
				c.Lost = append(c.Lost, fmt.Sprintf("%s %s at %s until %s: %s", method, uri, at, time.Now().Format("05.000"), raw))
				c.mu.Unlock()
			}
		}
	}
	c.mu.Lock()
	c.Done[fmt.Sprintf("%s %d", strings.SplitN(uri[8:], "/", 2)[0], out.code)]++
	c.mu.Unlock()
	return out
}

// Run makes calls from so many callers at a whole rate until the time is up.
func (c *Coord) Run(callers int, rate float64, long time.Duration) {
	stop, end := context.WithTimeout(c.g.Context(), long)
	defer end()
	var all sync.WaitGroup
	gap := time.Duration(float64(time.Second) * float64(callers) / rate)
	for i := range callers {
		all.Add(1)
		c.g.Go("coord", func(context.Context) {
			defer all.Done()
			for stop.Err() == nil {
				t := time.NewTimer(gap/2 + time.Duration(rand.Int64N(int64(gap)+1)))
				select {
				case <-t.C:
				case <-stop.Done():
					t.Stop()
					return
				}
				switch rand.IntN(4) {
				case 0:
					c.lock(fmt.Sprintf("who%d", i), fmt.Sprintf("lock%d", rand.IntN(3)))
				case 1:
					c.number(fmt.Sprintf("row%d", rand.IntN(2)))
				case 2:
					c.put(fmt.Sprintf("k/%d", rand.IntN(8)))
				case 3:
					c.get(fmt.Sprintf("k/%d", rand.IntN(8)))
				}
			}
		})
	}
	all.Add(1)
	c.g.Go("watcher", func(context.Context) {
		defer all.Done()
		c.watch(stop)
	})
	all.Wait()
	c.g.Stop()
}

func (c *Coord) lock(owner, name string) {
	from := time.Now()
	ttl := 2 * time.Second
	got := c.ask("POST", "/puffin/locks/"+name+"/acquire", map[string]any{"owner": owner, "ttl_ms": ttl.Milliseconds()})
	if got.code != 200 {
		return
	}
	c.mu.Lock()
	// The other one holds it for certain while its time, counted from before
	// it asked, has not run out and it has not begun to give it back.
	if h := c.held[name]; h.owner != "" && h.owner != owner && time.Now().Before(h.until) && from.Before(h.until) && got.Fence != h.fence {
		c.obs.Blame(TwoHold, fmt.Sprintf("%s held by %s and %s", name, h.owner, owner))
	}
	if got.Fence < c.high["fence/"+name] {
		c.obs.Blame(FenceFell, "fence of "+name)
	}
	c.high["fence/"+name] = got.Fence
	c.held[name] = hold{owner, got.Fence, from.Add(ttl)}
	c.mu.Unlock()
	t := time.NewTimer(time.Duration(rand.IntN(100)) * time.Millisecond)
	<-t.C
	if rand.IntN(3) == 0 {
		again := time.Now()
		got := c.ask("POST", "/puffin/locks/"+name+"/renew", map[string]any{"owner": owner, "fence": got.Fence, "ttl_ms": ttl.Milliseconds()})
		if got.code == 200 {
			c.mu.Lock()
			if h := c.held[name]; h.owner == owner && h.fence == got.Fence {
				c.held[name] = hold{owner, got.Fence, again.Add(ttl)}
			}
			c.mu.Unlock()
		}
	}
	c.mu.Lock()
	if h := c.held[name]; h.owner == owner && h.fence == got.Fence {
		delete(c.held, name)
	}
	c.mu.Unlock()
	c.ask("POST", "/puffin/locks/"+name+"/release", map[string]any{"owner": owner, "fence": got.Fence})
}

func (c *Coord) number(name string) {
	c.mu.Lock()
	low := c.high[name]
	c.mu.Unlock()
	got := c.ask("POST", "/puffin/numbers/"+name+"/next", map[string]any{})
	if got.code != 200 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seen[name] == nil {
		c.seen[name] = map[uint64]bool{}
	}
	// One that was asked for after another was had must be higher.
	if c.seen[name][got.Num] || got.Num <= low {
		c.obs.Blame(FenceFell, fmt.Sprintf("number %d of %s after %d", got.Num, name, low))
	}
	c.seen[name][got.Num] = true
	c.high[name] = max(c.high[name], got.Num)
}

func (c *Coord) put(name string) {
	got := c.ask("PUT", "/puffin/keys/"+name, map[string]any{"value": fmt.Sprint(rand.Int64())})
	if got.code != 200 {
		return
	}
	c.mu.Lock()
	if c.puts[got.Rev] {
		c.obs.Blame(FenceFell, fmt.Sprintf("revision %d twice", got.Rev))
	}
	c.puts[got.Rev] = true
	c.acks[name] = max(c.acks[name], got.Rev)
	c.mu.Unlock()
}

func (c *Coord) get(name string) {
	c.mu.Lock()
	low := c.acks[name]
	c.mu.Unlock()
	got := c.ask("GET", "/puffin/keys/"+name, nil)
	if (got.code == 200 && got.Rev < low) || (got.code == 404 && low > 0) {
		c.obs.Blame(OldRead, fmt.Sprintf("%s at %d, %d was acknowledged", name, got.Rev, low))
	}
}
