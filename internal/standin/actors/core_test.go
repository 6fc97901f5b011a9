package actors_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/env"
	"puffincrank/internal/event"
	"puffincrank/internal/httpapi"
	"puffincrank/internal/sim"
	"puffincrank/internal/standin/actors"
	"puffincrank/internal/standin/checker"
	"puffincrank/internal/task"
)

// core is a control node in memory that keeps every promise, or breaks one.
type core struct {
	mu    sync.Mutex
	err   string
	n     int
	fence uint64
	locks map[string]*lease
	nums  map[string]uint64
	revs  map[string]uint64
	keys  map[string][]cell
	doc   string
	first string
}

type lease struct {
	owner string
	fence uint64
	end   time.Time
}

type cell struct {
	Name  string `json:"name"`
	Value string `json:"value"`
	Rev   uint64 `json:"rev"`
}

// errs tells that it is to break a promise, now and then.
func (c *core) errs(what string) bool { c.n++; return c.err == what && c.n%3 == 0 }

func (c *core) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	raw, _ := io.ReadAll(r.Body)
	c.mu.Lock()
	defer c.mu.Unlock()
	var in struct {
		Owner string  `json:"owner"`
		TTL   int64   `json:"ttl_ms"`
		Fence uint64  `json:"fence"`
		Value string  `json:"value"`
		If    *uint64 `json:"if_rev"`
	}
	_ = json.Unmarshal(raw, &in)
	p := strings.Split(strings.TrimPrefix(r.URL.Path, "/puffin/"), "/")
	if p[0] == "config" {
		c.config(w, r, string(raw))
		return
	}
	kind, name := p[1], p[2]
	switch kind {
	case "locks":
		l := c.locks[name]
		free := l == nil || !time.Now().Before(l.end) || l.owner == in.Owner || c.errs("locks")
		ttl := time.Duration(in.TTL) * time.Millisecond
		switch {
		case r.Method == "DELETE":
			if l != nil && l.fence == in.Fence {
				l.end = time.Time{}
			}
			httpapi.WriteJSON(w, 200, map[string]any{})
		case r.Method == "PUT" && (l == nil || l.owner != in.Owner || l.fence != in.Fence || !time.Now().Before(l.end)), !free:
			httpapi.WriteJSON(w, 409, map[string]any{})
		default:
			if l == nil || l.owner != in.Owner || !time.Now().Before(l.end) {
				c.fence++
				l = &lease{owner: in.Owner, fence: c.fence}
				c.locks[name] = l
			}
			l.end = time.Now().Add(ttl)
			httpapi.WriteJSON(w, 200, map[string]any{"fence": l.fence})
		}
	case "numbers":
		if !c.errs("numbers") {
			c.nums[name]++
		}
		httpapi.WriteJSON(w, 200, map[string]any{"value": c.nums[name]})
	case "keys":
		c.cell(w, r, name, in.Value, in.If)
	case "watch":
		c.watch(w, r, name)
	}
}

func (c *core) config(w http.ResponseWriter, r *http.Request, raw string) {
	if r.Method == "GET" {
		if c.errs("documents") {
			raw = c.first
		} else {
			raw = c.doc
		}
		_, _ = w.Write([]byte(raw))
		return
	}
	if !json.Valid([]byte(raw)) && c.err != "broken" {
		httpapi.WriteJSON(w, 422, map[string]any{})
		return
	}
	if c.first == "" {
		c.first = raw
	}
	c.doc = raw
	httpapi.WriteJSON(w, 200, map[string]any{})
}

func (c *core) cell(w http.ResponseWriter, r *http.Request, name, value string, at *uint64) {
	g := name[:strings.IndexByte(name, '.')+1]
	var now, last cell
	for _, k := range c.keys[g] {
		if k.Name == name {
			last, now = now, k
		}
	}
	switch {
	case r.Method == "GET" && c.errs("reads") && last.Rev > 0:
		httpapi.WriteJSON(w, 200, last)
	case r.Method == "GET" && now.Rev == 0:
		httpapi.WriteJSON(w, 404, map[string]any{})
	case r.Method == "GET":
		httpapi.WriteJSON(w, 200, now)
	case at != nil && *at != now.Rev && !c.errs("conditions"):
		httpapi.WriteJSON(w, 412, map[string]any{"rev": now.Rev})
	default:
		c.revs[g]++
		c.keys[g] = append(c.keys[g], cell{name, value, c.revs[g]})
		httpapi.WriteJSON(w, 200, map[string]any{"rev": c.revs[g]})
	}
}

func (c *core) watch(w http.ResponseWriter, r *http.Request, g string) {
	var after, wait int64
	_, _ = fmt.Sscanf(r.URL.RawQuery, "after=%d&wait_ms=%d", &after, &wait)
	for end := time.Now().Add(time.Duration(wait) * time.Millisecond); after > 0 && c.revs[g] <= uint64(after) && time.Now().Before(end); {
		c.mu.Unlock()
		task.Sleep(context.Background(), 20*time.Millisecond)
		c.mu.Lock()
	}
	list := []cell{}
	for _, k := range c.keys[g] {
		if after > 0 && k.Rev > uint64(after) && !c.errs("watches") {
			list = append(list, k)
		}
	}
	httpapi.WriteJSON(w, 200, map[string]any{"changes": list, "rev": c.revs[g]})
}

// TestCallers: against a control node that keeps every promise nothing is
// blamed; each promise that it breaks is caught by applications and operators.
func TestCallers(t *testing.T) {
	for err, rules := range map[string][]string{"": nil, "locks": {checker.One}, "numbers": {checker.Order}, "reads": {checker.Stale}, "conditions": {checker.Order},
		"watches": {checker.Order}, "documents": {checker.Config}, "broken": {checker.Config}} {
		t.Run("breaks "+err, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { callers(t, err, rules) })
		})
	}
}

// callers plays a few seconds of them. They share one dice, so who draws what
// differs from run to run: they make several times the calls that are asked
// for, since a count that is met on average only is missed now and then.
func callers(t *testing.T, err string, rules []string) {
	net := sim.NewNet(1, time.Millisecond, time.Millisecond)
	net.Place("h1", "x")
	net.Place("h2", "x")
	g, wit := task.New(context.Background()), checker.New(checker.Usual)
	e := env.Env{Net: net.Host("h1"), Log: event.New("h1", nil), WallClock: time.Now}
	c := &core{err: err, locks: map[string]*lease{}, nums: map[string]uint64{}, revs: map[string]uint64{}, keys: map[string][]cell{}}
	if err := httpapi.Serve(g, e, "h1:1", c, time.Second); err != nil {
		t.Fatal(err)
	}
	e.Net = net.Host("h2")
	at := func() []string { return []string{"h1:1"} }
	a, o := actors.NewApps(e, at, wit, g, 1), actors.NewOperator(e, at, wit, 2)
	a.Locks, a.Rate, a.Callers = 9, 150, 21
	ctx, end := context.WithTimeout(context.Background(), 12*time.Second)
	d := &actors.Draft{Number: 1, Services: []string{"s", "u"}, Ways: []actors.Way{{Name: "p", Host: "h.example", Prefix: "/a/", Repeat: "safe", Split: map[string]int{"s": 1}, Left: time.Second, Tries: 2}}}
	for n := range uint64(3) {
		d = d.Copy()
		d.Number = n + 1
		o.Send(ctx, d, "", "")
	}
	o.Send(ctx, d, actors.Breaks[0].Of(d), actors.Breaks[0].Name)
	if c.err == "broken" {
		c.doc = c.first
	}
	a.Run(ctx)
	end()
	a.Finish(context.Background())
	for range 3 {
		o.Read(context.Background(), time.Second, true)
	}
	g.Stop()
	<-time.After(4 * time.Second)
	bad, notes := wit.Verdict()
	want := map[string]bool{}
	for _, r := range rules {
		want[r] = true
		if bad[r] == 0 {
			t.Errorf("%s: not caught as %s: %v", err, r, bad)
		}
	}
	if len(rules) == 0 && len(bad) > 0 {
		t.Errorf("blamed: %v", notes)
	}
	if done, _ := a.Done(); done["put 200"] < 50 || done["take 200"] < 20 || done["watch 200"] < 20 {
		t.Errorf("too little was called: %v", done)
	}
}

// TestBreaks: each broken document is what its name says, and the whole one it
// was made of is not.
func TestBreaks(t *testing.T) {
	d := &actors.Draft{Number: 1, Services: []string{"s", "u"}, Ways: []actors.Way{{Name: "p", Host: "h.example", Prefix: "/a/", Repeat: "safe", Split: map[string]int{"s": 1}, Left: time.Second, Tries: 2}}}
	for _, b := range actors.Breaks {
		got := b.Of(d)
		if got == d.JSON() || (b.Name != "cut short") != json.Valid([]byte(got)) {
			t.Errorf("%s: %s", b.Name, got)
		}
	}
}
