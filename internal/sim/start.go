package sim

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"puffincrank/internal/schema"
)

// Start brings all up and puts the first configuration in force.
func (f *Fleet) Start() {
	for _, c := range f.Cores {
		f.StartStore(c)
		f.StartRegistry(c)
	}
	for i, n := range f.Nodes {
		f.StartProxy(n)
		f.StartWorker(n, f.S.Serves(i))
	}
	f.Until(15*time.Second, "the first configuration is taken", func() bool {
		code, v, got := f.apply("", f.Fronts()[0], 0, f.S.Doc)
		if code == 422 {
			// No later try is taken: say what is wrong with it.
			f.T.Fatalf("the first configuration is refused: %v", got)
		}
		// After an unknown outcome the next try may find its own change there.
		return code == 200 || code == 409 && v == 1
	})
	f.knew = f.Until(15*time.Second, "all are ready and know all workers", f.Whole)
}

// Whole tells that every node is ready and knows every worker.
func (f *Fleet) Whole() bool {
	for _, n := range f.Nodes {
		if n.Proxy == nil {
			continue
		}
		if code, _ := f.Get(n.Host+":7003", "/puffin/ready"); code != 200 {
			return false
		}
		code, got := f.Get(n.Host+":7003", "/puffin/own")
		if live, _ := got["entries"].(float64); code != 200 || int(live) != f.workers() {
			return false
		}
	}
	return true
}

func (f *Fleet) workers() int {
	n := 0
	for _, m := range f.Nodes {
		if m.Worker != nil && m.Proxy != nil {
			n++
		}
	}
	return n
}

// Fronts lists the traffic addresses.
func (f *Fleet) Fronts() []string {
	var out []string
	for _, n := range f.Nodes {
		out = append(out, n.Host+":8000")
	}
	return out
}

// Until waits for a state of the fleet, in virtual time, and tells how long.
func (f *Fleet) Until(bound time.Duration, what string, ok func() bool) time.Duration {
	from := time.Now()
	for !ok() {
		if time.Since(from) > bound {
			f.T.Fatalf("not within %v: %s", bound, what)
		}
		Wait(50 * time.Millisecond)
	}
	return time.Since(from)
}

// Wait lets virtual time pass.
func Wait(d time.Duration) {
	t := time.NewTimer(d)
	<-t.C
}

// Ask makes one outside call and reads its JSON.
func (f *Fleet) Ask(method, at, uri, body string) (int, map[string]any) {
	ctx, end := context.WithTimeout(context.Background(), 10*time.Second)
	defer end()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+at+uri, strings.NewReader(body))
	if err != nil {
		f.T.Fatal(err)
	}
	w, err := f.way.RoundTrip(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = w.Body.Close() }()
	raw, err := io.ReadAll(w.Body)
	if err != nil {
		return 0, nil
	}
	var got map[string]any
	_ = json.Unmarshal(raw, &got)
	return w.StatusCode, got
}

// Get reads.
func (f *Fleet) Get(at, uri string) (int, map[string]any) { return f.Ask("GET", at, uri, "") }

// Apply sends a document to the node with this traffic or outer address.
func (f *Fleet) Apply(at string, base uint64, doc string) (int, uint64) {
	return f.ApplyAs("", at, base, doc)
}

// ApplyAs sends a document as the operator of a name: what two operators send is
// never taken for one order that is sent again.
func (f *Fleet) ApplyAs(who, at string, base uint64, doc string) (int, uint64) {
	code, v, _ := f.apply(who, at, base, doc)
	return code, v
}

func (f *Fleet) apply(who, at string, base uint64, doc string) (int, uint64, map[string]any) {
	code, got := f.Ask("PUT", host(at)+":7003", fmt.Sprintf("/puffin/config?based_on=%d&who=%s", base, who), doc)
	v, _ := got["version"].(float64)
	if code == 200 {
		f.Obs.Acked(uint64(v))
	}
	return code, uint64(v), got
}

// Read parses a document for a test.
func Read(doc string) map[string]any {
	m, _, _ := schema.Parse([]byte(doc))
	return m
}
