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

// Apps are the applications' callers of locks, numbers, keys and watches.
type Apps struct {
	E       env.Env
	Wit     *checker.Witness
	G       *task.Group
	At      func() []string
	Callers int
	Rate    float64 // calls a second of all of them
	Locks   int
	Numbers int
	Groups  int
	Keys    int // in each group
	dice    *dice
	mu      sync.Mutex
	revs    map[string]uint64 // key to the revision that was seen last
	saved   map[string]uint64 // group to where its watch stands
	done    map[string]int
	worst   time.Duration
}

// NewApps makes the callers; they run until the group ends or Run's time is up.
func NewApps(e env.Env, at func() []string, wit *checker.Witness, g *task.Group, seed uint64) *Apps {
	return &Apps{E: e, Wit: wit, G: g, At: at, Callers: 7, Rate: 40, Locks: 12, Numbers: 4, Groups: 3, Keys: 8, dice: newDice(seed),
		revs: map[string]uint64{}, saved: map[string]uint64{}, done: map[string]int{}}
}

// said is what an answer may hold.
type said struct {
	Fence   uint64 `json:"fence"`
	Value   any    `json:"value"`
	Rev     uint64 `json:"rev"`
	Changes []struct {
		Name  string `json:"name"`
		Value string `json:"value"`
		Rev   uint64 `json:"rev"`
	} `json:"changes"`
}

// clear tells that an answer needs no further call.
func clear(code int) bool { return code != 0 && code/100 != 5 && code != 429 }

// call makes one call; each send is written down by itself. After a failure, a
// 5xx, a 429 or a second of silence it turns to another node.
func (a *Apps) call(ctx context.Context, o checker.Op, method, uri string, body any, long, wait time.Duration) *checker.Op {
	var raw []byte
	if body != nil {
		raw, _ = json.Marshal(body)
	}
	from, last := time.Now(), ""
	o.First = from
	for {
		all := a.At()
		at := all[a.dice.below(len(all))]
		for i := 0; at == last && len(all) > 1 && i < 8; i++ {
			at = all[a.dice.below(len(all))]
		}
		last = at
		one := o
		one.From, one.At = time.Now(), host(at)
		code, got := Ask(ctx, a.E.Net, method, at, "/puffin/app/"+uri, raw, time.Second+wait)
		one.To, one.Code = time.Now(), code
		a.fill(&one, got)
		a.Wit.Called(&one)
		a.mu.Lock()
		a.done[fmt.Sprint(o.Kind, " ", code)]++
		a.worst = max(a.worst, time.Since(from))
		a.mu.Unlock()
		if clear(code) || time.Since(from) > long || ctx.Err() != nil {
			return &one
		}
		task.Sleep(ctx, a.dice.about(60*time.Millisecond))
	}
}

func (a *Apps) fill(o *checker.Op, raw []byte) {
	var s said
	if json.Unmarshal(raw, &s) != nil && o.Code == 200 {
		o.Code = 0
		return
	}
	switch o.Kind {
	case checker.Take, checker.Renew, checker.Free:
		o.Num = s.Fence
	case checker.Number:
		if f, ok := s.Value.(float64); ok {
			o.Num = uint64(f)
		}
	case checker.Get:
		o.Num = s.Rev
		o.Value, _ = s.Value.(string)
	default:
		o.Num = s.Rev
	}
	for _, c := range s.Changes {
		o.Changes = append(o.Changes, checker.Change{Key: c.Name, Value: c.Value, Rev: c.Rev})
	}
}

// Run keeps all callers and a watcher for each group at work until the context
// ends, and returns when they have ended.
func (a *Apps) Run(ctx context.Context) {
	var all sync.WaitGroup
	start := func(name string, f func()) {
		all.Add(1)
		if !a.G.Go(name, func(context.Context) { defer all.Done(); f() }) {
			all.Done()
		}
	}
	for i := range a.Callers {
		start("app", func() {
			for ctx.Err() == nil {
				task.Sleep(ctx, a.dice.gap(a.Rate/float64(a.Callers)))
				if ctx.Err() == nil {
					a.one(ctx, i)
				}
			}
		})
	}
	for i := range a.Groups {
		start("watch", func() { a.follow(ctx, fmt.Sprintf("g%d.", i)) })
	}
	all.Wait()
}

func (a *Apps) one(ctx context.Context, i int) {
	switch a.dice.below(5) {
	case 0:
		a.lock(ctx, fmt.Sprintf("a%d", i), fmt.Sprintf("l%d", a.dice.below(a.Locks)))
	case 1:
		a.number(ctx, false)
	case 2, 3:
		a.put(ctx, a.key())
	default:
		a.get(ctx, a.key(), false)
	}
}

func (a *Apps) key() string {
	return fmt.Sprintf("g%d.%x", a.dice.below(a.Groups), a.dice.below(a.Keys))
}

func (a *Apps) number(ctx context.Context, final bool) {
	n := fmt.Sprintf("n%d", a.dice.below(a.Numbers))
	a.call(ctx, checker.Op{Kind: checker.Number, Name: n, Final: final}, http.MethodPost, "numbers/"+n, map[string]any{}, a.long(final), 0)
}

func (a *Apps) long(final bool) time.Duration {
	if final {
		return 4 * time.Second
	}
	return 2 * time.Second
}

func (a *Apps) get(ctx context.Context, key string, final bool) {
	got := a.call(ctx, checker.Op{Kind: checker.Get, Name: key, Final: final}, http.MethodGet, "keys/"+key, nil, a.long(final), 0)
	if got.Code == 200 {
		a.saw(key, got.Num)
	}
}

func (a *Apps) saw(key string, rev uint64) {
	a.mu.Lock()
	a.revs[key] = max(a.revs[key], rev)
	a.mu.Unlock()
}

// put puts a value that nobody else puts; without a clear answer it is sent
// again, the same.
func (a *Apps) put(ctx context.Context, key string) {
	o := checker.Op{Kind: checker.Put, Name: key, Value: fmt.Sprintf("%016x", a.dice.word())}
	body := map[string]any{"value": o.Value}
	if a.dice.below(2) == 0 {
		a.mu.Lock()
		o.Cond, o.If = true, a.revs[key]
		a.mu.Unlock()
		// Some take it for absent, and must be told what is there.
		if a.dice.below(6) == 0 {
			o.If = 0
		}
		body["if_rev"] = o.If
	}
	got := a.call(ctx, o, http.MethodPut, "keys/"+key, body, 5*time.Second, 0)
	if got.Code == 200 || got.Code == 412 {
		a.saw(key, got.Num)
	}
}

// Done tells how the calls ended, and the longest that one took.
func (a *Apps) Done() (map[string]int, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.done, a.worst
}
