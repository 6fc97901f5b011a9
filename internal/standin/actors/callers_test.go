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

// node is a control node in memory that keeps all guarantees, or breaks the one named by broken
// at every third call.
type node struct {
	mu            sync.Mutex
	broken        string
	calls         int
	fence         uint64
	locks         map[string]*lease
	numbers       map[string]uint64
	revisions     map[string]uint64
	keys          map[string][]cell
	document      string
	firstDocument string
}

type lease struct {
	owner   string
	fence   uint64
	expires time.Time
}

type cell struct {
	Name     string `json:"name"`
	Value    string `json:"value"`
	Revision uint64 `json:"rev"`
}

// breaks reports whether the node is to break the given guarantee in this call.
func (n *node) breaks(promise string) bool { n.calls++; return n.broken == promise && n.calls%3 == 0 }

func (n *node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	raw, _ := io.ReadAll(r.Body)
	n.mu.Lock()
	defer n.mu.Unlock()
	var body struct {
		Owner string  `json:"owner"`
		TTL   int64   `json:"ttl_ms"`
		Fence uint64  `json:"fence"`
		Value string  `json:"value"`
		If    *uint64 `json:"if_rev"`
	}
	_ = json.Unmarshal(raw, &body)
	segments := strings.Split(strings.TrimPrefix(r.URL.Path, "/puffin/"), "/")
	if segments[0] == "config" {
		n.config(w, r, string(raw))
		return
	}
	kind, name := segments[1], segments[2]
	switch kind {
	case "locks":
		held := n.locks[name]
		free := held == nil || !time.Now().Before(held.expires) || held.owner == body.Owner || n.breaks("locks")
		ttl := time.Duration(body.TTL) * time.Millisecond
		switch {
		case r.Method == "DELETE":
			if held != nil && held.fence == body.Fence {
				held.expires = time.Time{}
			}
			httpapi.WriteJSON(w, 200, map[string]any{})
		case r.Method == "PUT" && (held == nil || held.owner != body.Owner || held.fence != body.Fence || !time.Now().Before(held.expires)), !free:
			httpapi.WriteJSON(w, 409, map[string]any{})
		default:
			if held == nil || held.owner != body.Owner || !time.Now().Before(held.expires) {
				n.fence++
				held = &lease{owner: body.Owner, fence: n.fence}
				n.locks[name] = held
			}
			held.expires = time.Now().Add(ttl)
			httpapi.WriteJSON(w, 200, map[string]any{"fence": held.fence})
		}
	case "numbers":
		if !n.breaks("numbers") {
			n.numbers[name]++
		}
		httpapi.WriteJSON(w, 200, map[string]any{"value": n.numbers[name]})
	case "keys":
		n.cell(w, r, name, body.Value, body.If)
	case "watch":
		n.watch(w, r, name)
	}
}

func (n *node) config(w http.ResponseWriter, r *http.Request, raw string) {
	if r.Method == "GET" {
		if n.breaks("documents") {
			raw = n.firstDocument
		} else {
			raw = n.document
		}
		_, _ = w.Write([]byte(raw))
		return
	}
	if !json.Valid([]byte(raw)) && n.broken != "broken" {
		httpapi.WriteJSON(w, 422, map[string]any{})
		return
	}
	if n.firstDocument == "" {
		n.firstDocument = raw
	}
	n.document = raw
	httpapi.WriteJSON(w, 200, map[string]any{})
}

func (n *node) cell(w http.ResponseWriter, r *http.Request, name, value string, ifRevision *uint64) {
	group := name[:strings.IndexByte(name, '.')+1]
	var current, previous cell
	for _, k := range n.keys[group] {
		if k.Name == name {
			previous, current = current, k
		}
	}
	switch {
	case r.Method == "GET" && n.breaks("reads") && previous.Revision > 0:
		httpapi.WriteJSON(w, 200, previous)
	case r.Method == "GET" && current.Revision == 0:
		httpapi.WriteJSON(w, 404, map[string]any{})
	case r.Method == "GET":
		httpapi.WriteJSON(w, 200, current)
	case ifRevision != nil && *ifRevision != current.Revision && !n.breaks("conditions"):
		httpapi.WriteJSON(w, 412, map[string]any{"rev": current.Revision})
	default:
		n.revisions[group]++
		n.keys[group] = append(n.keys[group], cell{name, value, n.revisions[group]})
		httpapi.WriteJSON(w, 200, map[string]any{"rev": n.revisions[group]})
	}
}

func (n *node) watch(w http.ResponseWriter, r *http.Request, group string) {
	var after, wait int64
	_, _ = fmt.Sscanf(r.URL.RawQuery, "after=%d&wait_ms=%d", &after, &wait)
	for deadline := time.Now().Add(time.Duration(wait) * time.Millisecond); after > 0 && n.revisions[group] <= uint64(after) && time.Now().Before(deadline); {
		n.mu.Unlock()
		task.Sleep(context.Background(), 20*time.Millisecond)
		n.mu.Lock()
	}
	list := []cell{}
	for _, k := range n.keys[group] {
		if after > 0 && k.Revision > uint64(after) && !n.breaks("watches") {
			list = append(list, k)
		}
	}
	httpapi.WriteJSON(w, 200, map[string]any{"changes": list, "rev": n.revisions[group]})
}

// TestCallersDetectBrokenPromises checks that applications and operators detect each guarantee
// that a control node breaks, and count no breach if it keeps all.
func TestCallersDetectBrokenPromises(t *testing.T) {
	for promise, rules := range map[string][]string{"": nil, "locks": {checker.One}, "numbers": {checker.Order}, "reads": {checker.Stale}, "conditions": {checker.Order},
		"watches": {checker.Order}, "documents": {checker.Config}, "broken": {checker.Config}} {
		t.Run("breaks "+promise, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runCallers(t, promise, rules) })
		})
	}
}

// runCallers runs applications and an operator for 12 s. The callers share one source of random
// numbers, so what each of them draws differs from run to run. They make several times the
// required number of calls, since one that is reached only on average would sometimes be missed.
func runCallers(t *testing.T, promise string, rules []string) {
	net := sim.NewNet(1, time.Millisecond, time.Millisecond)
	net.SetZone("h1", "x")
	net.SetZone("h2", "x")
	tasks, recorder := task.New(context.Background()), checker.New(checker.UsualBounds)
	environment := env.Env{Net: net.Host("h1"), Log: event.New("h1", nil), WallClock: time.Now}
	node := &node{broken: promise, locks: map[string]*lease{}, numbers: map[string]uint64{}, revisions: map[string]uint64{}, keys: map[string][]cell{}}
	if err := httpapi.Serve(tasks, environment, "h1:1", node, time.Second); err != nil {
		t.Fatal(err)
	}
	environment.Net = net.Host("h2")
	nodes := func() []string { return []string{"h1:1"} }
	apps, operator := actors.NewApps(environment, nodes, recorder, tasks, 1), actors.NewOperator(environment, nodes, recorder, 2)
	apps.Locks, apps.Rate, apps.Callers = 9, 150, 21
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	draft := &actors.Draft{Number: 1, Services: []string{"s", "u"}, Routes: []actors.RouteDraft{{Name: "p", Host: "h.example", Prefix: "/a/", RetryMode: "safe", Split: map[string]int{"s": 1}, Timeout: time.Second, MaxAttempts: 2}}}
	for n := range uint64(3) {
		draft = draft.Copy()
		draft.Number = n + 1
		operator.Send(ctx, draft, "", "")
	}
	operator.Send(ctx, draft, actors.InvalidDocuments[0].Of(draft), actors.InvalidDocuments[0].Name)
	if node.broken == "broken" {
		node.document = node.firstDocument
	}
	apps.Run(ctx)
	cancel()
	apps.Finish(context.Background())
	for range 3 {
		operator.ReadBack(context.Background(), time.Second, true)
	}
	tasks.Stop()
	<-time.After(4 * time.Second)
	breaches, notes := recorder.Breaches()
	want := map[string]bool{}
	for _, r := range rules {
		want[r] = true
		if breaches[r] == 0 {
			t.Errorf("broken guarantee %s: breach of %s was not detected: %v", promise, r, breaches)
		}
	}
	if len(rules) == 0 && len(breaches) > 0 {
		t.Errorf("unexpected breaches: %v", notes)
	}
	if outcomes, _ := apps.Done(); outcomes["put 200"] < 50 || outcomes["take 200"] < 20 || outcomes["watch 200"] < 20 {
		t.Errorf("too few calls: %v", outcomes)
	}
}

// TestBreaksProduceInvalidDocuments checks that each invalid document differs from the valid one,
// and that only the one that is cut short is not JSON.
func TestBreaksProduceInvalidDocuments(t *testing.T) {
	draft := &actors.Draft{Number: 1, Services: []string{"s", "u"}, Routes: []actors.RouteDraft{{Name: "p", Host: "h.example", Prefix: "/a/", RetryMode: "safe", Split: map[string]int{"s": 1}, Timeout: time.Second, MaxAttempts: 2}}}
	for _, testCase := range actors.InvalidDocuments {
		invalid := testCase.Of(draft)
		if invalid == draft.JSON() || (testCase.Name != "cut short") != json.Valid([]byte(invalid)) {
			t.Errorf("%s: %s", testCase.Name, invalid)
		}
	}
}
