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
func (t *Client) beat(ctx context.Context, to string) bool {
	t.mu.Lock()
	ask := protocol.Heartbeat{Member: t.x.Self, MembersHash: t.hash, AcceptsDiff: true, ControlNodesHash: membership.HashNames(t.core), AcceptsPatch: !t.whole, AcceptsCompact: true}
	t.mu.Unlock()
	ask.ConfigVersion = t.host.Version()
	t.host.FillHeartbeat(&ask)
	one, end := context.WithTimeout(ctx, t.leash())
	defer end()
	from := time.Now()
	got, err := transport.Call[protocol.HeartbeatResponse](one, t.x.Node, to, "session.beat", ask)
	if err != nil || !got.InTouch {
		return false
	}
	if len(got.CompressedDocument) > 0 {
		// What can't be read is like steps that don't fit.
		got.Document, _ = compression.Decompress(got.CompressedDocument)
	}
	if got.ConfigVersion > t.host.Version() && !t.ApplyConfig(got.ConfigVersion, got.Document, got.Patches) {
		// Steps that did not fit are asked for whole at once, a broken document
		// is no reason to ask again.
		if !ask.AcceptsPatch || got.Document != nil {
			return false
		}
		t.whole = true
		return t.beat(ctx, to)
	}
	t.whole = false
	// A control node that knows less than we do is not one to follow.
	if t.host.Version() > got.ConfigVersion {
		return false
	}
	t.sees(from, got.ConfirmedAgoMS)
	t.mu.Lock()
	// A receipt in time says that the way is free again.
	t.slow = t.slow && time.Since(from) > t.x.Settings.CallTimeout()
	fill := t.since.IsZero() || time.Since(t.since) > t.x.Settings.MaxAbsence()
	if len(got.ControlNodes) > 0 {
		t.core = got.ControlNodes
	}
	t.mu.Unlock()
	if got.MembersHash != ask.MembersHash {
		t.members(one, to, ask.MembersHash, &got)
	}
	t.host.ProxyCountChanged(got.ProxyCount)
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
	t.x.Replica.SetCompleteUntil(time.Now().Add(t.x.Settings.SessionTTL()))
	t.mu.Lock()
	t.since = time.Now()
	t.stir()
	t.mu.Unlock()
	t.host.SessionRenewed()
	return true
}

// members takes in what a receipt says of the list of members. When the
// control node knew nothing of the list held here, what differs is asked for
// by parts; the rest of that waits for the next beat when time runs out.
func (t *Client) members(ctx context.Context, to string, was uint64, got *protocol.HeartbeatResponse) {
	t.mu.Lock()
	b, now := t.book, t.hash
	t.mu.Unlock()
	if len(got.CompactDiff) > 0 {
		// What can't be opened is no difference: the parts are asked for.
		d, err := membership.DecodeDiff(got.CompactDiff)
		got.IsDiff, got.Added, got.Removed = got.IsDiff && err == nil, d.Added, d.Removed
	}
	switch {
	case got.Members != nil:
		b = membership.NewList(got.Members)
	case got.IsDiff && now == was:
		if b = b.Apply(got.Added, got.Removed); b.Hash() != got.MembersHash {
			// Not what the control node holds: asked for by parts next time.
			got.MembersHash = b.Hash()
		}
	default:
		b = t.parts(ctx, to, b, got.MembersHash, got.ProxyCount)
		got.MembersHash = b.Hash()
	}
	if t.x.SharedList != nil {
		b = t.x.SharedList(b)
	}
	t.mu.Lock()
	t.book, t.hash = b, got.MembersHash
	t.mu.Unlock()
	t.x.Replica.SetMembers(b)
	t.host.MembersChanged(b)
}

// Close ends the session politely.
func (t *Client) Close() {
	at, _ := t.Current()
	if at == "" {
		return
	}
	ctx, end := context.WithTimeout(t.x.Group.Context(), t.x.Settings.GoodbyeTimeout())
	defer end()
	_, _ = transport.Call[protocol.HeartbeatResponse](ctx, t.x.Node, at, "session.beat", protocol.Heartbeat{Member: t.x.Self, Leaving: true})
}
