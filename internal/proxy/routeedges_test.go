package proxy

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"puffincrank/internal/protocol"
	"puffincrank/internal/rules"
	"puffincrank/internal/standin/actors"
)

const edgeDocument = `{"version":1,"services":[{"name":"desk"}],"paths":[{"name":"loans","prefix":"/loans/","repeat":"never","service":"desk"},
{"name":"archive","prefix":"/loans/archive/","repeat":"safe","service":"desk"},{"name":"odd","prefix":"/a|b/","service":"desk"},{"name":"root","host":"root","prefix":"/","service":"desk"}]}`

func proxyWith(t *testing.T, doc string, version uint64) *Proxy {
	t.Helper()
	compiled, problems, err := rules.Compile(version, []byte(doc))
	if err != nil || len(problems) > 0 {
		t.Fatal(problems, err)
	}
	x := &Proxy{dialect: actors.PlainDialect}
	x.rules.Store(compiled)
	return x
}

// matchRequestLine returns a request with this target as the ingress has matched it.
func matchRequestLine(t *testing.T, x *Proxy, host, target string) *request {
	t.Helper()
	parsed, err := http.ReadRequest(bufio.NewReader(strings.NewReader(fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", target, host))))
	if err != nil {
		t.Fatal(err)
	}
	req := &request{httpReq: parsed, receivedAt: time.Now()}
	x.matchRoute(req)
	return req
}

// TestSameRouteAtIngressAndOwner guards against two nodes that read a path differently: the ingress
// matched the path in a normalized form and the owner as it was sent, so that one request had two
// routes.
func TestSameRouteAtIngressAndOwner(t *testing.T) {
	x := proxyWith(t, edgeDocument, 5)
	for target, want := range map[string]string{"/loans/7": "loans", "/loans/archive": "loans", "/loans/archive/?k=1": "archive", "/loans/archive?k=/loans/archive/": "loans",
		"/loans/%61rchive/7": "loans", "/loans//archive/7": "loans", "//loans/7": "", "/loans": "", "/a|b/7": "odd", "/a%7Cb/7": "", "http://h/loans/archive/7": "archive", "http://root": "root"} {
		host := "h"
		if want == "root" {
			host = want
		}
		req := matchRequestLine(t, x, host, target)
		got := ""
		if req.route != nil {
			got = req.route.Name
		}
		if got != want {
			t.Errorf("%s: the ingress matched %q, want %q", target, got, want)
		}
		attempt := &ownerAttempt{req: protocol.AttemptRequest{Route: want, Host: req.httpReq.Host, Method: "GET", URI: req.target}}
		if route := attempt.match(x.rules.Load()); (route != nil) != (want != "") || route != nil && route.Name != want {
			t.Errorf("%s: the owner matched %v, want %q", target, route, want)
		}
	}
}

// TestOwnerRefusesOtherRoute guards against an ingress of an earlier release, which takes
// /loans/archive for a request that it may repeat: an owner runs it for nobody who might do so, be
// its configuration the same or a newer one.
func TestOwnerRefusesOtherRoute(t *testing.T) {
	x := proxyWith(t, edgeDocument, 5)
	class := x.rules.Load().Routes[0].Base.Class
	for _, c := range []struct {
		route, uri string
		version    uint64
		runs       bool
	}{{"archive", "/loans/archive", 5, false}, {"archive", "/loans/archive", 4, false}, {"archive", "/loans/archive/7", 5, true}, {"archive", "/loans/archive/7", 4, true}, {"loans", "/loans/archive", 5, true}, {"loans", "/loans/archive", 4, true}, {"loans", "/loans", 5, false}, {"loans", "/loans", 4, false}} {
		attempt := &ownerAttempt{req: protocol.AttemptRequest{Route: c.route, Host: "h", Method: "GET", URI: c.uri, Service: "desk", Class: class, ConfigVersion: c.version, Confidence: protocol.Confirmed, Repeatable: c.route == "archive"}}
		if runs := x.checkRules(context.Background(), attempt); runs != c.runs {
			t.Errorf("%s by route %s of version %d: runs %v", c.uri, c.route, c.version, runs)
		}
		if !c.runs && attempt.result.Outcome != protocol.Refused {
			t.Errorf("%s by route %s of version %d: not refused: %+v", c.uri, c.route, c.version, attempt.result)
		}
	}
}

// TestLostRequestUnderNewRules guards against a request that is sent again after its answer was
// lost, although the configuration that it takes over from an owner meanwhile lets it run only once.
func TestLostRequestUnderNewRules(t *testing.T) {
	safe := strings.Replace(edgeDocument, `"repeat":"never"`, `"repeat":"safe"`, 1)
	for _, c := range []struct {
		name     string
		newRules string
		change   func(*request)
		restarts bool
	}{
		{"nothing has run", edgeDocument, func(*request) {}, true},
		{"an answer was lost", edgeDocument, func(r *request) { r.lost = &lostAttempt{} }, false},
		{"a worker failed", edgeDocument, func(r *request) { r.fallback = &protocol.AttemptResult{Status: 500} }, false},
		{"a first attempt is under way", edgeDocument, func(r *request) { r.isHedge = true }, false},
		{"an answer was lost, and it may run again", strings.Replace(safe, `"/a|b/"`, `"/ab/"`, 1), func(r *request) { r.lost = &lostAttempt{} }, true},
	} {
		x := proxyWith(t, safe, 4)
		req := matchRequestLine(t, x, "h", "/loans/7")
		req.deadline, req.result = time.Now().Add(time.Minute), protocol.AttemptResult{Outcome: protocol.Refused, ConfigMismatch: true, ConfigVersion: 5}
		c.change(req)
		newer, _, err := rules.Compile(5, []byte(c.newRules))
		if err != nil {
			t.Fatal(err)
		}
		x.rules.Store(newer)
		if restarts := x.evaluate(t.Context(), req) == restart; restarts != c.restarts {
			t.Errorf("%s: sent again: %v", c.name, restarts)
		}
	}
}
