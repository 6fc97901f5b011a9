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

// The violations of the guarantees for locks, numbers and keys.
const (
	TwoHolders = "two callers held one lock at once"
	NotRising  = "a fence, number or revision was given twice or decreased"
	StaleRead  = "a key was read older than an acknowledged write"
	WatchGap   = "a watch missed or repeated a change"
)

// CoordinationViolations lists these violations.
var CoordinationViolations = []string{TwoHolders, NotRising, StaleRead, WatchGap}

// CoordinationCallers simulates callers of locks, numbers, keys and watches. mu guards the maps and Lost.
type CoordinationCallers struct {
	tasks           *task.Group
	observer        *Observer
	nodes           []string // outer addresses of the nodes
	transport       *http.Transport
	timeout         time.Duration
	mu              sync.Mutex
	held            map[string]lockHold
	highest         map[string]uint64          // name to the highest number given; fences under "fence/" and the lock
	given           map[string]map[uint64]bool // name to all numbers given
	ackedRevisions  map[string]uint64          // key to the highest acknowledged revision
	ackedChanges    map[uint64]bool            // acknowledged revisions
	Outcomes        map[string]int             // kind and status of a call to their number
	UnknownOutcomes []string                   // calls with an unknown outcome, and why
	Skip            func(node string) bool     // if set, tells which nodes get no calls for now
}

type lockHold struct {
	owner string
	fence uint64
	until time.Time
}

// NewCoordinationCallers creates callers of the given nodes.
func NewCoordinationCallers(environment env.Env, nodes []string, observer *Observer) *CoordinationCallers {
	coord := &CoordinationCallers{tasks: task.New(context.Background()), observer: observer, nodes: nodes, timeout: 4 * time.Second, held: map[string]lockHold{}, highest: map[string]uint64{},
		given: map[string]map[uint64]bool{}, ackedRevisions: map[string]uint64{}, ackedChanges: map[uint64]bool{}, Outcomes: map[string]int{}}
	coord.transport = &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) { return environment.Net.Dial(ctx, addr) }}
	return coord
}

type coordResponse struct {
	status   int
	Revision uint64 `json:"rev"`
	Number   uint64 `json:"number"`
	Fence    uint64 `json:"fence"`
	Value    string `json:"value"`
	Next     uint64 `json:"next"`
	Oldest   uint64 `json:"oldest"`
	Changes  []struct {
		Rev uint64 `json:"rev"`
		Key string `json:"key"`
	} `json:"changes"`
}

func (c *CoordinationCallers) request(method, uri string, body any) coordResponse {
	var answer coordResponse
	ctx, cancel := context.WithTimeout(c.tasks.Context(), c.timeout)
	defer cancel()
	var reader io.Reader
	if body != nil {
		encoded, _ := json.Marshal(body)
		reader = strings.NewReader(string(encoded))
	}
	node := c.nodes[rand.IntN(len(c.nodes))]
	for attempt := 0; attempt < 20 && c.Skip != nil && c.Skip(node); attempt++ {
		node = c.nodes[rand.IntN(len(c.nodes))]
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+node+uri, reader)
	if err != nil {
		return answer
	}
	response, err := c.transport.RoundTrip(request)
	if err == nil {
		raw, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err == nil {
			answer.status = response.StatusCode
			_ = json.Unmarshal(raw, &answer)
			if answer.status == http.StatusGatewayTimeout {
				c.mu.Lock()
				c.UnknownOutcomes = append(c.UnknownOutcomes, fmt.Sprintf("%s %s at %s until %s: %s", method, uri, node, time.Now().Format("05.000"), raw))
				c.mu.Unlock()
			}
		}
	}
	c.mu.Lock()
	c.Outcomes[fmt.Sprintf("%s %d", strings.SplitN(uri[8:], "/", 2)[0], answer.status)]++
	c.mu.Unlock()
	return answer
}

// Run makes calls for the given duration. rate is the number of calls per second of all
// callers together.
func (c *CoordinationCallers) Run(callers int, rate float64, duration time.Duration) {
	runCtx, cancel := context.WithTimeout(c.tasks.Context(), duration)
	defer cancel()
	var running sync.WaitGroup
	interval := time.Duration(float64(time.Second) * float64(callers) / rate)
	for i := range callers {
		running.Add(1)
		c.tasks.Go("coord", func(context.Context) {
			defer running.Done()
			for runCtx.Err() == nil {
				timer := time.NewTimer(interval/2 + time.Duration(rand.Int64N(int64(interval)+1)))
				select {
				case <-timer.C:
				case <-runCtx.Done():
					timer.Stop()
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
	running.Add(1)
	c.tasks.Go("watcher", func(context.Context) {
		defer running.Done()
		c.watch(runCtx)
	})
	running.Wait()
	c.tasks.Stop()
}

func (c *CoordinationCallers) lock(owner, name string) {
	start := time.Now()
	ttl := 2 * time.Second
	response := c.request("POST", "/puffin/locks/"+name+"/acquire", map[string]any{"owner": owner, "ttl_ms": ttl.Milliseconds()})
	if response.status != 200 {
		return
	}
	c.mu.Lock()
	// The other owner certainly holds the lock as long as its time to live, counted
	// from before its request, has not expired and it has not begun to release it.
	if held := c.held[name]; held.owner != "" && held.owner != owner && time.Now().Before(held.until) && start.Before(held.until) && response.Fence != held.fence {
		c.observer.RecordViolation(TwoHolders, fmt.Sprintf("%s held by %s and %s", name, held.owner, owner))
	}
	if response.Fence < c.highest["fence/"+name] {
		c.observer.RecordViolation(NotRising, "fence of "+name)
	}
	c.highest["fence/"+name] = response.Fence
	c.held[name] = lockHold{owner, response.Fence, start.Add(ttl)}
	c.mu.Unlock()
	timer := time.NewTimer(time.Duration(rand.IntN(100)) * time.Millisecond)
	<-timer.C
	if rand.IntN(3) == 0 {
		renewedAt := time.Now()
		response := c.request("POST", "/puffin/locks/"+name+"/renew", map[string]any{"owner": owner, "fence": response.Fence, "ttl_ms": ttl.Milliseconds()})
		if response.status == 200 {
			c.mu.Lock()
			if held := c.held[name]; held.owner == owner && held.fence == response.Fence {
				c.held[name] = lockHold{owner, response.Fence, renewedAt.Add(ttl)}
			}
			c.mu.Unlock()
		}
	}
	c.mu.Lock()
	if held := c.held[name]; held.owner == owner && held.fence == response.Fence {
		delete(c.held, name)
	}
	c.mu.Unlock()
	c.request("POST", "/puffin/locks/"+name+"/release", map[string]any{"owner": owner, "fence": response.Fence})
}

func (c *CoordinationCallers) number(name string) {
	c.mu.Lock()
	lowest := c.highest[name]
	c.mu.Unlock()
	response := c.request("POST", "/puffin/numbers/"+name+"/next", map[string]any{})
	if response.status != 200 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.given[name] == nil {
		c.given[name] = map[uint64]bool{}
	}
	// A number must be higher than all that were received before it was requested.
	if c.given[name][response.Number] || response.Number <= lowest {
		c.observer.RecordViolation(NotRising, fmt.Sprintf("number %d of %s after %d", response.Number, name, lowest))
	}
	c.given[name][response.Number] = true
	c.highest[name] = max(c.highest[name], response.Number)
}

func (c *CoordinationCallers) put(name string) {
	response := c.request("PUT", "/puffin/keys/"+name, map[string]any{"value": fmt.Sprint(rand.Int64())})
	if response.status != 200 {
		return
	}
	c.mu.Lock()
	if c.ackedChanges[response.Revision] {
		c.observer.RecordViolation(NotRising, fmt.Sprintf("revision %d twice", response.Revision))
	}
	c.ackedChanges[response.Revision] = true
	c.ackedRevisions[name] = max(c.ackedRevisions[name], response.Revision)
	c.mu.Unlock()
}

func (c *CoordinationCallers) get(name string) {
	c.mu.Lock()
	lowest := c.ackedRevisions[name]
	c.mu.Unlock()
	response := c.request("GET", "/puffin/keys/"+name, nil)
	if (response.status == 200 && response.Revision < lowest) || (response.status == 404 && lowest > 0) {
		c.observer.RecordViolation(StaleRead, fmt.Sprintf("%s at %d, %d was acknowledged", name, response.Revision, lowest))
	}
}
