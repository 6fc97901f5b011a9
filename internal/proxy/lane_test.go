package proxy

import (
	"testing"

	"puffincrank/internal/rules"
	"puffincrank/internal/transport"
)

// TestLaneOfNestedCalls: a job goes by its arm's lane; a call of other jobs by the
// most urgent lane among those that it may belong to, but never as bulk, unless
// it is bulk itself.
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
			t.Errorf("it goes by lane %d, not %d", got, want)
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
