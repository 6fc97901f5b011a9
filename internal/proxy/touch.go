package proxy

import (
	"context"
	"sync"
	"time"

	"puffincrank/internal/ballot"
	"puffincrank/internal/event"
	"puffincrank/internal/member"
	"puffincrank/internal/ormap"
	"puffincrank/internal/session"
	"puffincrank/internal/task"
	"puffincrank/internal/wire"
)

// touch is the proxy's session with one control node.
type touch struct {
	x     *Proxy
	mu    sync.Mutex
	at    string    // the control node of the session
	core  []string  // all control nodes known
	sure  time.Time // when the configuration held here was last the newest, for certain
	out   time.Time // when the newest round began that found every control node out of touch
	lost  bool
	turn  chan struct{}
	kick  chan struct{}
	hash  uint64
	all   []member.Fellow
	since time.Time // when the session last stood
	ring  int
}

func newTouch(x *Proxy) *touch {
	return &touch{x: x, core: x.P.Seeds, turn: make(chan struct{}), kick: make(chan struct{}, 1)}
}

func (t *touch) stir() {
	close(t.turn)
	t.turn = make(chan struct{})
}

// run is the loop of beats.
func (t *touch) run(ctx context.Context) {
	x := t.x
	for {
		tick := time.NewTimer(x.P.Beat())
		select {
		case <-ctx.Done():
			tick.Stop()
			return
		case <-tick.C:
		case <-t.kick:
			tick.Stop()
		}
		t.once(ctx)
	}
}

// once renews the session, with another control node if need be.
func (t *touch) once(ctx context.Context) {
	t.mu.Lock()
	at := t.at
	t.mu.Unlock()
	if at != "" && t.beat(ctx, at) {
		return
	}
	t.mu.Lock()
	core := append([]string(nil), t.core...)
	was := t.at
	t.mu.Unlock()
	if was != "" {
		t.x.e.Log.Emit(event.SessionDown, "with", was)
	}
	// All are asked at once: within the bound it must be known whether any is
	// in touch. The first good answer becomes the session.
	found, began := "", time.Now()
	round, end := context.WithTimeout(ctx, t.x.P.Patience())
	defer end()
	ballot.Poll(round, t.x.g, core, func(ctx context.Context, to string) (bool, error) {
		return t.beat(ctx, to), nil
	}, func(who string, ok bool, _ error) bool {
		if ok && found == "" {
			found = who
		}
		return found != ""
	})
	t.mu.Lock()
	t.at = found
	was2 := t.lost
	t.lost = found == ""
	if t.lost {
		t.out = began
		t.core = union(t.x.P.Seeds, t.core)
	}
	t.stir()
	t.mu.Unlock()
	switch {
	case found != "":
		t.x.e.Log.Emit(event.SessionUp, "with", found)
		if was2 {
			t.x.e.Log.Emit(event.InTouch, "with", found)
		}
	case !was2:
		t.x.e.Log.Emit(event.OutOfTouch, "asked", len(core))
	}
}

func union(a, b []string) []string {
	seen := map[string]bool{}
	var out []string
	for _, s := range append(append([]string(nil), a...), b...) {
		if !seen[s] {
			seen[s] = true
			out = append(out, s)
		}
	}
	return out
}

// beat sends one beat and takes in the receipt.
func (t *touch) beat(ctx context.Context, to string) bool {
	x := t.x
	t.mu.Lock()
	ask := session.Beat{Fellow: x.self, Hash: t.hash}
	t.mu.Unlock()
	if r := x.rules.Load(); r != nil {
		ask.Version = r.Version
	}
	ask.Tallies, ask.Live = x.tallies(), x.lively()
	ctx, end := context.WithTimeout(ctx, x.P.Patience())
	defer end()
	from := time.Now()
	got, err := wire.Ask[session.Receipt](ctx, x.n, to, "session.beat", ask)
	if err != nil || !got.In {
		return false
	}
	if got.Version > ask.Version && !x.take(got.Version, got.Doc) {
		return false
	}
	// A control node that knows less than we do is not one to follow.
	if r := x.rules.Load(); r != nil && r.Version > got.Version {
		return false
	}
	t.mu.Lock()
	if sure := from.Add(-time.Duration(got.Age) * time.Millisecond); sure.After(t.sure) {
		t.sure = sure
	}
	fill := t.since.IsZero() || time.Since(t.since) > x.P.Absent()
	if len(got.Core) > 0 {
		t.core = got.Core
	}
	news := got.Members != nil && got.Hash != t.hash
	if news {
		t.hash, t.all = got.Hash, got.Members
	}
	t.mu.Unlock()
	if news {
		x.rep.Peers(got.Members)
		here := map[string]bool{x.P.Node: true}
		for _, f := range got.Members {
			here[f.Node] = true
		}
		x.pick.Here(here)
	}
	x.again.Nodes(got.Count)
	// A new replica, or one that was away for too long, is refilled before
	// the session counts.
	if fill {
		if x.rep.Refill(ctx, to) != nil {
			return false
		}
		x.ownOld()
		// Own entries made before there was anybody to tell go out now, and
		// those that crossed with this one's start are fetched soon after.
		x.g.Go("mend-soon", func(ctx context.Context) {
			for range 3 {
				_ = x.rep.Mend(ctx, to)
				task.Pause(ctx, 2*x.P.Beat())
			}
		})
	}
	t.mu.Lock()
	t.since = time.Now()
	t.stir()
	t.mu.Unlock()
	if x.rules.Load() != nil {
		if x.life.Fire("filled") {
			x.e.Log.Emit(event.Ready, "version", x.rules.Load().Version)
		}
	}
	x.afresh()
	return true
}

// ownOld buries what an earlier start of this node left in the registry.
func (x *Proxy) ownOld() {
	x.rep.Retire(x.P.Node, func(e ormap.Entry) bool { return e.Dot.Node != x.rep.Dot() })
}

// fresh tells whether the node may act: the configuration it holds was the
// newest a moment ago, or it has just found every control node out of touch.
func (t *touch) fresh() bool {
	woke := t.x.pulse.Woke()
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Since(t.sure) <= t.x.P.Fresh() {
		return true
	}
	// A round that a freeze fell into says nothing: its answers may wait unread.
	return t.lost && t.out.After(woke) && time.Since(t.out) <= t.x.P.Fresh()
}

// confirm waits until the node may act. A node that was frozen comes here
// before it takes or hands over another job. The wait is bounded by a round
// over all control nodes and by half of the time left: then the job is given
// up and says so at once.
func (t *touch) confirm(ctx context.Context, end time.Time) bool {
	if t.fresh() {
		return true
	}
	ctx, over := context.WithTimeout(ctx, min(2*t.x.P.Patience()+t.x.P.Beat(), time.Until(end)/2))
	defer over()
	for !t.fresh() {
		t.mu.Lock()
		turn := t.turn
		t.mu.Unlock()
		select {
		case t.kick <- struct{}{}:
		default:
		}
		select {
		case <-turn:
		case <-ctx.Done():
			return t.fresh()
		}
	}
	return true
}
