package controlclient

import (
	"context"
	"time"

	"puffincrank/internal/compression"
	"puffincrank/internal/membership"
	"puffincrank/internal/protocol"
	"puffincrank/internal/transport"
)

// beat sends one beat and takes in the receipt. Beats come one after the other,
// so the list whose hash is kept is the one that is passed on last.
func (t *Touch) beat(ctx context.Context, to string) bool {
	t.mu.Lock()
	ask := protocol.Beat{Fellow: t.x.Self, Hash: t.hash, Diff: true, Core: membership.Names(t.core), Patch: !t.whole, Short: true}
	t.mu.Unlock()
	ask.Version = t.host.Version()
	t.host.Report(&ask)
	one, end := context.WithTimeout(ctx, t.leash())
	defer end()
	from := time.Now()
	got, err := transport.Ask[protocol.Receipt](one, t.x.N, to, "session.beat", ask)
	if err != nil || !got.In {
		return false
	}
	if len(got.Shrunk) > 0 {
		// What can't be read is like steps that don't fit.
		got.Doc, _ = compression.Grow(got.Shrunk)
	}
	if got.Version > t.host.Version() && !t.Take(got.Version, got.Doc, got.Steps) {
		// Steps that did not fit are asked for whole at once, a broken document
		// is no reason to ask again.
		if !ask.Patch || got.Doc != nil {
			return false
		}
		t.whole = true
		return t.beat(ctx, to)
	}
	t.whole = false
	// A control node that knows less than we do is not one to follow.
	if t.host.Version() > got.Version {
		return false
	}
	t.sees(from, got.Age)
	t.mu.Lock()
	// A receipt in time says that the way is free again.
	t.slow = t.slow && time.Since(from) > t.x.Settings.CallTimeout()
	fill := t.since.IsZero() || time.Since(t.since) > t.x.Settings.MaxAbsence()
	if len(got.Core) > 0 {
		t.core = got.Core
	}
	t.mu.Unlock()
	if got.Hash != ask.Hash {
		t.members(one, to, ask.Hash, &got)
	}
	t.host.Fronts(got.Count)
	// A new replica, or one that was away for too long, is refilled before
	// the session counts. Who is put off keeps its seat meanwhile.
	if fill {
		switch t.fill(ctx, to) {
		case unfilled:
			return false
		case putOff:
			return true
		}
	}
	t.x.Rep.Sound(time.Now().Add(t.x.Settings.SessionTTL()))
	t.mu.Lock()
	t.since = time.Now()
	t.stir()
	t.mu.Unlock()
	t.host.Stands()
	return true
}

// members takes in what a receipt says of the list of members. When the
// control node knew nothing of the list held here, what differs is asked for
// by parts; the rest of that waits for the next beat when time runs out.
func (t *Touch) members(ctx context.Context, to string, was uint64, got *protocol.Receipt) {
	t.mu.Lock()
	b, now := t.book, t.hash
	t.mu.Unlock()
	if len(got.Short) > 0 {
		// What can't be opened is no difference: the parts are asked for.
		d, err := membership.OpenDiff(got.Short)
		got.Diff, got.Come, got.Gone = got.Diff && err == nil, d.Come, d.Gone
	}
	switch {
	case got.Members != nil:
		b = membership.NewBook(got.Members)
	case got.Diff && now == was:
		if b = b.With(got.Come, got.Gone); b.Hash() != got.Hash {
			// Not what the control node holds: asked for by parts next time.
			got.Hash = b.Hash()
		}
	default:
		b = t.parts(ctx, to, b, got.Hash, got.Count)
		got.Hash = b.Hash()
	}
	if t.x.Same != nil {
		b = t.x.Same(b)
	}
	t.mu.Lock()
	t.book, t.hash = b, got.Hash
	t.mu.Unlock()
	t.x.Rep.Peers(b)
	t.host.Members(b)
}

// Bye ends the session politely.
func (t *Touch) Bye() {
	at, _ := t.At()
	if at == "" {
		return
	}
	ctx, end := context.WithTimeout(t.x.G.Context(), t.x.Settings.FarewellTimeout())
	defer end()
	_, _ = transport.Ask[protocol.Receipt](ctx, t.x.N, at, "session.beat", protocol.Beat{Fellow: t.x.Self, Bye: true})
}
