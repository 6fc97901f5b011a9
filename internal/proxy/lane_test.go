package proxy

import (
	"testing"

	"puffincrank/internal/rules"
	"puffincrank/internal/transport"
)

// TestLaneOfCalls: a job goes by its arm's lane; a call of other jobs by the
// most urgent lane among those that it may belong to, but never as bulk, unless
// it is bulk itself.
func TestLaneOfCalls(t *testing.T) {
	x := &Proxy{kin: newKin()}
	r, bad, err := rules.Compile(1, []byte(`{"services":[{"name":"s"}],"paths":[
{"name":"first","prefix":"/a","service":"s"},{"name":"second","prefix":"/b","service":"s","rank":1},
{"name":"check","prefix":"/c","service":"s","rank":2},{"name":"up","prefix":"/d","service":"s","repeat":"upload"}]}`))
	if err != nil || len(bad) > 0 {
		t.Fatal(err, bad)
	}
	j := &job{rules: r, path: r.RouteByName("check"), arm: &r.RouteByName("check").Base}
	is := func(want int) {
		t.Helper()
		if got := x.lane(j); got != want {
			t.Errorf("it goes by lane %d, not %d", got, want)
		}
	}
	is(transport.LaneRequests + 2)
	x.kin.begin(transport.LaneRequests)
	is(transport.LaneRequests + 2)
	x.kin.told("check", true)
	is(transport.LaneRequests)
	x.kin.begin(transport.LaneBulk)
	is(transport.LaneRequests)
	x.kin.end(transport.LaneRequests)
	is(transport.LaneBulk - 1)
	j.arm = &r.RouteByName("up").Base
	x.kin.begin(transport.LaneRequests)
	is(transport.LaneBulk)
	j.arm = &r.RouteByName("check").Base
	is(transport.LaneRequests)
	x.kin.end(transport.LaneRequests)
	x.kin.end(transport.LaneBulk)
	is(transport.LaneRequests + 2)
	x.kin.begin(transport.LaneRequests)
	x.kin.told("check", false)
	is(transport.LaneRequests + 2)
}
