package proxy

import (
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/grace"
	"puffincrank/internal/nominate"
	"puffincrank/internal/props"
	"puffincrank/internal/repeats"
	"puffincrank/internal/rules"
)

// TestReservesRetry: a part of a job's time is kept for a repeat, and its attempt ended for
// that, only where a repeat can follow: at another worker, within what is kept and
// within the bound on repeats, and not around a planned stop.
func TestReservesRetry(t *testing.T) {
	const left = time.Second
	for _, c := range []struct {
		name string
		do   func(*Proxy, *job)
		want bool
	}{
		{"as usual", func(*Proxy, *job) {}, true},
		{"the only worker", func(_ *Proxy, j *job) { j.known = 1 }, false},
		{"all others were tried", func(_ *Proxy, j *job) { j.tried["v"], j.tried["u"] = true, true }, false},
		{"no try is left", func(_ *Proxy, j *job) { j.sends = 2 }, false},
		{"it may run once", func(_ *Proxy, j *job) { j.arm.Safe = false }, false},
		{"no repeat is left", func(x *Proxy, _ *job) { x.again.Bound(0, 0) }, false},
		{"its like take up to what is kept", func(x *Proxy, _ *job) { ran(x, 400*time.Millisecond) }, true},
		{"its like take longer", func(x *Proxy, _ *job) { ran(x, 410*time.Millisecond) }, false},
		{"told to end", func(x *Proxy, _ *job) { x.stop.Store(grace.Begin(time.Second, 0)) }, false},
		{"started a while ago", func(x *Proxy, _ *job) { x.born = time.Now().Add(-x.P.Grace - x.P.Change) }, false},
		{"started longer ago", func(x *Proxy, _ *job) { x.born = time.Now().Add(-x.P.Grace - x.P.Change - 1) }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := &Proxy{P: props.Props{Grace: 6 * time.Second, Change: 2 * time.Second}, born: time.Now(), again: repeats.New(10 * time.Second)}
				x.pick = nominate.New("a", time.Second, 10*time.Second, func(string, bool) {})
				<-time.After(20 * time.Second)
				x.again.Bound(0.2, 10)
				x.again.Nodes(1)
				j := &job{path: &rules.Path{Name: "p"}, arm: &rules.Arm{Safe: true, Tries: 2}, service: "s", tried: map[string]bool{"w": true}, sends: 1, known: 3}
				c.do(x, j)
				if got := x.reservesRetry(j, left); got != c.want {
					t.Errorf("kept: %v", got)
				}
			})
		})
	}
}

// ran has a worker run a job of the path in a time, as a front sees it.
func ran(x *Proxy, took time.Duration) {
	x.pick.Done(nominate.End{Worker: "w", Service: "s", Path: "p", Took: took, Ran: took, OK: true, Counts: true})
}
