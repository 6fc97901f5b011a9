package proxy

import (
	"testing"

	"puffincrank/internal/rules"
	"puffincrank/internal/transport"
)

// TestLaneOfNestedCalls checks that a request uses the lane of its arm, and a nested call the
// most urgent lane of the requests it may belong to, but the bulk lane only if it is bulk
// itself.
func TestLaneOfNestedCalls(t *testing.T) {
	x := &Proxy{nested: newNestedRoutes()}
	r, bad, err := rules.Compile(1, []byte(`{"services":[{"name":"s"}],"paths":[
{"name":"first","prefix":"/a","service":"s"},{"name":"second","prefix":"/b","service":"s","rank":1},
{"name":"check","prefix":"/c","service":"s","rank":2},{"name":"up","prefix":"/d","service":"s","repeat":"upload"}]}`))
	if err != nil || len(bad) > 0 {
		t.Fatal(err, bad)
	}
	req := &request{rules: r, route: r.RouteByName("check"), arm: &r.RouteByName("check").Base}
	expectLane := func(want int) {
		t.Helper()
		if got := x.requestLane(req); got != want {
			t.Errorf("lane %d, want %d", got, want)
		}
	}
	expectLane(transport.LaneRequests + 2)
	x.nested.runBegan(transport.LaneRequests)
	expectLane(transport.LaneRequests + 2)
	x.nested.setNested("check", true)
	expectLane(transport.LaneRequests)
	x.nested.runBegan(transport.LaneBulk)
	expectLane(transport.LaneRequests)
	x.nested.runEnded(transport.LaneRequests)
	expectLane(transport.LaneBulk - 1)
	req.arm = &r.RouteByName("up").Base
	x.nested.runBegan(transport.LaneRequests)
	expectLane(transport.LaneBulk)
	req.arm = &r.RouteByName("check").Base
	expectLane(transport.LaneRequests)
	x.nested.runEnded(transport.LaneRequests)
	x.nested.runEnded(transport.LaneBulk)
	expectLane(transport.LaneRequests + 2)
	x.nested.runBegan(transport.LaneRequests)
	x.nested.setNested("check", false)
	expectLane(transport.LaneRequests + 2)
}
