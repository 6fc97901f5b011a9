package proxy

import (
	"testing"

	"puffincrank/internal/rules"
	"puffincrank/internal/wire"
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
	is(wire.Jobs + 2)
	x.kin.begin(wire.Jobs)
	is(wire.Jobs + 2)
	x.kin.told("check", true)
	is(wire.Jobs)
	x.kin.begin(wire.Bulk)
	is(wire.Jobs)
	x.kin.end(wire.Jobs)
	is(wire.Bulk - 1)
	j.arm = &r.Named("up").Base
	x.kin.begin(wire.Jobs)
	is(wire.Bulk)
	j.arm = &r.Named("check").Base
	is(wire.Jobs)
	x.kin.end(wire.Jobs)
	x.kin.end(wire.Bulk)
	is(wire.Jobs + 2)
	x.kin.begin(wire.Jobs)
	x.kin.told("check", false)
	is(wire.Jobs + 2)
}
