package actors

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"puffincrank/internal/env"
	"puffincrank/internal/standin/checker"
	"puffincrank/internal/task"
)

// Apps simulates applications that use locks, numbers, keys and watches.
type Apps struct {
	Env          env.Env
	Recorder     *checker.Recorder
	Tasks        *task.Group
	Nodes        func() []string // addresses of the nodes that take calls
	Callers      int
	Rate         float64 // calls per second, over all callers
	Locks        int
	Numbers      int
	KeyGroups    int
	KeysPerGroup int
	random       *lockedRand
	mu           sync.Mutex
	revisions    map[string]uint64 // key to the highest revision seen
	watchedTo    map[string]uint64 // group to the revision up to which it was watched
	outcomes     map[string]int    // kind and status of a call to their number
	longest      time.Duration     // the longest time that a call took until it was given up or answered
}

// NewApps creates the callers. They run until the task group or the context of Run ends.
func NewApps(environment env.Env, nodes func() []string, recorder *checker.Recorder, tasks *task.Group, seed uint64) *Apps {
	return &Apps{Env: environment, Recorder: recorder, Tasks: tasks, Nodes: nodes, Callers: 7, Rate: 40, Locks: 12, Numbers: 4, KeyGroups: 3, KeysPerGroup: 8, random: newLockedRand(seed),
		revisions: map[string]uint64{}, watchedTo: map[string]uint64{}, outcomes: map[string]int{}}
}

// answerBody holds the fields that answers to any kind of call may have.
type answerBody struct {
	Fence    uint64 `json:"fence"`
	Value    any    `json:"value"`
	Revision uint64 `json:"rev"`
	Changes  []struct {
		Name  string `json:"name"`
		Value string `json:"value"`
		Rev   uint64 `json:"rev"`
	} `json:"changes"`
}

// conclusive reports whether a status settles the call, so that it is not sent again.
func conclusive(code int) bool { return code != 0 && code/100 != 5 && code != 429 }

// call makes one call and records each attempt. After a failure, a 5xx, a 429 or a second
// without an answer it tries another node, until duration is over. wait is the time that the
// node itself may hold the call.
func (a *Apps) call(ctx context.Context, op checker.Op, method, uri string, body any, duration, wait time.Duration) *checker.Op {
	var raw []byte
	if body != nil {
		raw, _ = json.Marshal(body)
	}
	start, lastNode := time.Now(), ""
	op.FirstSentAt = start
	for {
		nodes := a.Nodes()
		node := nodes[a.random.intN(len(nodes))]
		for i := 0; node == lastNode && len(nodes) > 1 && i < 8; i++ {
			node = nodes[a.random.intN(len(nodes))]
		}
		lastNode = node
		attempt := op
		attempt.Start, attempt.Node = time.Now(), hostOf(node)
		code, answer := CallNode(ctx, a.Env.Net, method, node, "/puffin/app/"+uri, raw, time.Second+wait)
		attempt.End, attempt.Status = time.Now(), code
		a.readAnswer(&attempt, answer)
		a.Recorder.RecordCall(&attempt)
		a.mu.Lock()
		a.outcomes[fmt.Sprint(op.Kind, " ", code)]++
		a.longest = max(a.longest, time.Since(start))
		a.mu.Unlock()
		if conclusive(code) || time.Since(start) > duration || ctx.Err() != nil {
			return &attempt
		}
		task.Sleep(ctx, a.random.around(60*time.Millisecond))
	}
}

func (a *Apps) readAnswer(op *checker.Op, raw []byte) {
	var parsed answerBody
	if json.Unmarshal(raw, &parsed) != nil && op.Status == 200 {
		op.Status = 0
		return
	}
	switch op.Kind {
	case checker.Acquire, checker.Renew, checker.Release:
		op.Number = parsed.Fence
	case checker.Number:
		if number, ok := parsed.Value.(float64); ok {
			op.Number = uint64(number)
		}
	case checker.Get:
		op.Number = parsed.Revision
		op.Value, _ = parsed.Value.(string)
	default:
		op.Number = parsed.Revision
	}
	for _, c := range parsed.Changes {
		op.Changes = append(op.Changes, checker.Change{Key: c.Name, Value: c.Value, Revision: c.Rev})
	}
}

// Run runs all callers and a watcher for each key group until the context ends, and returns
// when all of them have ended.
func (a *Apps) Run(ctx context.Context) {
	var running sync.WaitGroup
	start := func(name string, work func()) {
		running.Add(1)
		if !a.Tasks.Go(name, func(context.Context) { defer running.Done(); work() }) {
			running.Done()
		}
	}
	for i := range a.Callers {
		start("app", func() {
			for ctx.Err() == nil {
				task.Sleep(ctx, a.random.interval(a.Rate/float64(a.Callers)))
				if ctx.Err() == nil {
					a.callOnce(ctx, i)
				}
			}
		})
	}
	for i := range a.KeyGroups {
		start("watch", func() { a.watchGroup(ctx, fmt.Sprintf("g%d.", i)) })
	}
	running.Wait()
}

func (a *Apps) callOnce(ctx context.Context, i int) {
	switch a.random.intN(5) {
	case 0:
		a.useLock(ctx, fmt.Sprintf("a%d", i), fmt.Sprintf("l%d", a.random.intN(a.Locks)))
	case 1:
		a.number(ctx, false)
	case 2, 3:
		a.put(ctx, a.randomKey())
	default:
		a.get(ctx, a.randomKey(), false)
	}
}

func (a *Apps) randomKey() string {
	return fmt.Sprintf("g%d.%x", a.random.intN(a.KeyGroups), a.random.intN(a.KeysPerGroup))
}

func (a *Apps) number(ctx context.Context, final bool) {
	name := fmt.Sprintf("n%d", a.random.intN(a.Numbers))
	a.call(ctx, checker.Op{Kind: checker.Number, Name: name, Final: final}, http.MethodPost, "numbers/"+name, map[string]any{}, a.callTimeout(final), 0)
}

func (a *Apps) callTimeout(final bool) time.Duration {
	if final {
		return 4 * time.Second
	}
	return 2 * time.Second
}

func (a *Apps) get(ctx context.Context, key string, final bool) {
	result := a.call(ctx, checker.Op{Kind: checker.Get, Name: key, Final: final}, http.MethodGet, "keys/"+key, nil, a.callTimeout(final), 0)
	if result.Status == 200 {
		a.noteRevision(key, result.Number)
	}
}

func (a *Apps) noteRevision(key string, revision uint64) {
	a.mu.Lock()
	a.revisions[key] = max(a.revisions[key], revision)
	a.mu.Unlock()
}

// put puts a unique value. Without a conclusive answer the same put is sent again.
func (a *Apps) put(ctx context.Context, key string) {
	op := checker.Op{Kind: checker.Put, Name: key, Value: fmt.Sprintf("%016x", a.random.uint64())}
	body := map[string]any{"value": op.Value}
	if a.random.intN(2) == 0 {
		a.mu.Lock()
		op.Conditional, op.IfRevision = true, a.revisions[key]
		a.mu.Unlock()
		// Some callers assume that the key is absent; a 412 must name the current revision.
		if a.random.intN(6) == 0 {
			op.IfRevision = 0
		}
		body["if_rev"] = op.IfRevision
	}
	result := a.call(ctx, op, http.MethodPut, "keys/"+key, body, 5*time.Second, 0)
	if result.Status == 200 || result.Status == 412 {
		a.noteRevision(key, result.Number)
	}
}

// Done returns the number of calls by kind and status, and the longest time that a call took.
func (a *Apps) Done() (map[string]int, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.outcomes, a.longest
}
