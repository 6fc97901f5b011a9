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
	j := &job{rules: r, path: r.Named("check"), arm: &r.Named("check").Base}
	is := func(want int) {
		t.Helper()
		if got := x.lane(j); got != want {
			t.Errorf("it goes by lane %d, not %d", got, want)
		}
	}
	is(transport.Jobs + 2)
	x.kin.begin(transport.Jobs)
	is(transport.Jobs + 2)
	x.kin.told("check", true)
	is(transport.Jobs)
	x.kin.begin(transport.Bulk)
	is(transport.Jobs)
	x.kin.end(transport.Jobs)
	is(transport.Bulk - 1)
	j.arm = &r.Named("up").Base
	x.kin.begin(transport.Jobs)
	is(transport.Bulk)
	j.arm = &r.Named("check").Base
	is(transport.Jobs)
	x.kin.end(transport.Jobs)
	x.kin.end(transport.Bulk)
	is(transport.Jobs + 2)
	x.kin.begin(transport.Jobs)
	x.kin.told("check", false)
	is(transport.Jobs + 2)
}
