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

// Start starts all processes and applies the first configuration.
func (f *Fleet) Start() {
	for _, c := range f.ControlMachines {
		f.StartStore(c)
		f.StartRegistry(c)
	}
	for i, n := range f.Nodes {
		f.StartProxy(n)
		f.StartWorker(n, f.Shape.ServiceOf(i))
	}
	f.Until(15*time.Second, "the first configuration is accepted", func() bool {
		code, version, answer := f.apply("", f.Ingresses()[0], 0, f.Shape.Config)
		if code == 422 {
			// No later attempt would be accepted, so report the reason.
			f.T.Fatalf("the first configuration was refused: %v", answer)
		}
		// After an attempt with an unknown outcome, the next one may find its own change
		// already applied.
		return code == 200 || code == 409 && version == 1
	})
	f.convergedAfter = f.Until(15*time.Second, "all proxies are ready and know all workers", f.Converged)
}

// Converged reports whether every running proxy is ready and knows every worker.
func (f *Fleet) Converged() bool {
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

// Ingresses lists the traffic addresses of all nodes.
func (f *Fleet) Ingresses() []string {
	var addresses []string
	for _, n := range f.Nodes {
		addresses = append(addresses, n.Host+":8000")
	}
	return addresses
}

// Until waits in virtual time until a condition holds, and returns how long that took. It
// fails the test after the bound.
func (f *Fleet) Until(bound time.Duration, condition string, holds func() bool) time.Duration {
	start := time.Now()
	for !holds() {
		if time.Since(start) > bound {
			f.T.Fatalf("not within %v: %s", bound, condition)
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

// Request sends one request from outside the fleet and returns the status and the decoded JSON
// body. The status is 0 if there was no response.
func (f *Fleet) Request(method, address, uri, body string) (int, map[string]any) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+uri, strings.NewReader(body))
	if err != nil {
		f.T.Fatal(err)
	}
	response, err := f.client.RoundTrip(request)
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

// Get sends a GET request as Ask does.
func (f *Fleet) Get(address, uri string) (int, map[string]any) {
	return f.Request("GET", address, uri, "")
}

// Apply sends a configuration to the node with this traffic or outer address.
func (f *Fleet) Apply(address string, base uint64, doc string) (int, uint64) {
	return f.ApplyAs("", address, base, doc)
}

// ApplyAs sends a configuration on behalf of a named operator. Identical requests of two
// operators are never treated as a retry of one request.
func (f *Fleet) ApplyAs(operator, address string, base uint64, doc string) (int, uint64) {
	code, version, _ := f.apply(operator, address, base, doc)
	return code, version
}

func (f *Fleet) apply(operator, address string, base uint64, doc string) (int, uint64, map[string]any) {
	code, answer := f.Request("PUT", hostOf(address)+":7003", fmt.Sprintf("/puffin/config?based_on=%d&who=%s", base, operator), doc)
	version, _ := answer["version"].(float64)
	if code == 200 {
		f.Observer.VersionAcked(uint64(version))
	}
	return code, uint64(version), answer
}

// ParseConfig parses a configuration document.
func ParseConfig(doc string) map[string]any {
	parsed, _, _ := schema.Parse([]byte(doc))
	return parsed
}
