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
		code, version, answer := f.apply("", f.Fronts()[0], 0, f.S.Doc)
		if code == 422 {
			// No later try is taken: say what is wrong with it.
			f.T.Fatalf("the first configuration is refused: %v", answer)
		}
		// After an unknown outcome the next try may find its own change there.
		return code == 200 || code == 409 && version == 1
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
		code, own := f.Get(n.Host+":7003", "/puffin/own")
		if entries, _ := own["entries"].(float64); code != 200 || int(entries) != f.workers() {
			return false
		}
	}
	return true
}

func (f *Fleet) workers() int {
	count := 0
	for _, node := range f.Nodes {
		if node.Worker != nil && node.Proxy != nil {
			count++
		}
	}
	return count
}

// Fronts lists the traffic addresses.
func (f *Fleet) Fronts() []string {
	var addresses []string
	for _, n := range f.Nodes {
		addresses = append(addresses, n.Host+":8000")
	}
	return addresses
}

// Until waits for a state of the fleet, in virtual time, and tells how long.
func (f *Fleet) Until(bound time.Duration, what string, holds func() bool) time.Duration {
	start := time.Now()
	for !holds() {
		if time.Since(start) > bound {
			f.T.Fatalf("not within %v: %s", bound, what)
		}
		Wait(50 * time.Millisecond)
	}
	return time.Since(start)
}

// Wait lets virtual time pass.
func Wait(duration time.Duration) {
	timer := time.NewTimer(duration)
	<-timer.C
}

// Ask makes one outside call and reads its JSON.
func (f *Fleet) Ask(method, address, uri, body string) (int, map[string]any) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+uri, strings.NewReader(body))
	if err != nil {
		f.T.Fatal(err)
	}
	response, err := f.way.RoundTrip(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	var answer map[string]any
	_ = json.Unmarshal(raw, &answer)
	return response.StatusCode, answer
}

// Get reads.
func (f *Fleet) Get(address, uri string) (int, map[string]any) { return f.Ask("GET", address, uri, "") }

// Apply sends a document to the node with this traffic or outer address.
func (f *Fleet) Apply(address string, base uint64, doc string) (int, uint64) {
	return f.ApplyAs("", address, base, doc)
}

// ApplyAs sends a document as the operator of a name: what two operators send is
// never taken for one order that is sent again.
func (f *Fleet) ApplyAs(operator, address string, base uint64, doc string) (int, uint64) {
	code, version, _ := f.apply(operator, address, base, doc)
	return code, version
}

func (f *Fleet) apply(operator, address string, base uint64, doc string) (int, uint64, map[string]any) {
	code, answer := f.Ask("PUT", host(address)+":7003", fmt.Sprintf("/puffin/config?based_on=%d&who=%s", base, operator), doc)
	version, _ := answer["version"].(float64)
	if code == 200 {
		f.Obs.Acked(uint64(version))
	}
	return code, uint64(version), answer
}

// Read parses a document for a test.
func Read(doc string) map[string]any {
	parsed, _, _ := schema.Parse([]byte(doc))
	return parsed
}
