package registry

import (
	"context"
	"time"

	"puffincrank/internal/membership"
	"puffincrank/internal/protocol"
	"puffincrank/internal/transport"
)

// seldom is how many beats pass between two words without news; two in a row
// may be lost.
const seldom = 3

// shared is another control node's word on its sessions.
type shared struct {
	f     membership.Member
	hash  uint64 // of the list as last heard, 0 for none
	heard time.Time
	// What it said counts; it does not after a session's time without a word.
	stands bool
	// Since when words to it were not answered, zero for not at all.
	mute time.Time
	well time.Time // when the newest word began that was
	out  bool      // it is left out of the list for that
}

// share tells the other control nodes of the sessions here: what changed since
// the last round, and to those who lack more what they lack.
func (r *Registry) share(context.Context) {
	r.e.PollSettings()
	r.mu.Lock()
	r.expire()
	r.dropUnreachable()
	if !r.sure.IsZero() && time.Since(r.sure) <= r.Settings.ConfirmationTTL() {
		r.rep.SetCompleteUntil(time.Now().Add(r.Settings.SessionTTL()))
	}
	r.relink()
	// Unless something changed or somebody came or went lately, a word now and
	// then is enough: what was said counts for ten beats.
	_, met := r.near()
	if met != r.circle {
		r.circle, r.circled = met, time.Now()
	}
	calm := r.mine.Hash() == r.told && !r.owe && time.Since(r.circled) > r.Settings.SessionTTL()
	r.rounds++
	rest := calm && r.rounds%seldom != 0
	var to []string
	if rest {
		if to = r.unreachablePeers(); len(to) == 0 {
			r.mu.Unlock()
			return
		}
	}
	r.owe = false
	in := protocol.SessionReport{Sender: r.self, Hash: r.mine.Hash()}
	if d, ok := r.mine.Since(r.told); ok && r.told != in.Hash && len(d.Added)+len(d.Removed) <= membersPerPage {
		in.IsDiff, in.BaseHash, in.Added, in.Removed = true, r.told, d.Added, d.Removed
	}
	r.told = in.Hash
	in.ReachableHash = met
	if !rest {
		to = r.peers()
	}
	r.mu.Unlock()
	for _, a := range to {
		if a == r.Settings.InternalAddr {
			continue
		}
		r.g.Go("share-one", func(ctx context.Context) {
			ctx, end := context.WithTimeout(ctx, r.Settings.CallTimeout())
			defer end()
			began := time.Now()
			got, err := transport.Call[protocol.SessionReportResponse](ctx, r.n, a, "session.share", in)
			r.recordAnswer(a, began, err == nil)
			if err == nil {
				r.meet(got.Reachable)
			}
			if err == nil && got.NeedMore {
				_, _ = transport.Call[protocol.SessionReportResponse](ctx, r.n, a, "session.share", r.more(got))
			}
		})
	}
}

// more gives a control node what it lacks: what differs from the list that it
// holds, if that is known here, or else the whole.
func (r *Registry) more(got protocol.SessionReportResponse) protocol.SessionReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := protocol.SessionReport{Sender: r.self, Hash: r.mine.Hash()}
	if d, ok := r.mine.Since(got.Hash); ok && got.AcceptsDiff && got.Hash != 0 {
		out.IsDiff, out.BaseHash, out.Added, out.Removed = true, got.Hash, d.Added, d.Removed
	} else {
		out.Complete, out.Members = true, r.mine.List().Members()
	}
	if got.AcceptsCompact && len(out.Members)+len(out.Added)+len(out.Removed) > plainDiff {
		out.Compact = membership.Diff{Added: append(out.Added, out.Members...), Removed: out.Removed}.Encode()
		out.Members, out.Added, out.Removed = nil, nil, nil
	}
	return out
}

func (r *Registry) onShare(_ context.Context, _ transport.Hello, in protocol.SessionReport) (protocol.SessionReportResponse, error) {
	if len(in.Compact) > 0 {
		d, err := membership.DecodeDiff(in.Compact)
		if err != nil {
			return protocol.SessionReportResponse{}, err
		}
		if in.Complete {
			in.Members = d.Added
		} else {
			in.Added, in.Removed = d.Added, d.Removed
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	who := in.Sender.Node
	o := r.others[who]
	if o == nil {
		o = &shared{}
		r.others[who] = o
	}
	// Who begins anew or was away lacks what is said here.
	r.owe = r.owe || !o.stands || o.f.Incarnation != in.Sender.Incarnation
	o.hears(in.Sender)
	r.roll.Set(who, in.Sender)
	switch {
	case in.Complete:
		r.roll.Replace(who, append(in.Members, in.Sender))
		o.hash = in.Hash
	case in.IsDiff && in.BaseHash == o.hash && o.hash != in.Hash:
		for _, f := range in.Added {
			r.roll.Set(who, f)
		}
		for _, n := range in.Removed {
			r.roll.Remove(who, n)
		}
		o.hash = in.Hash
	}
	r.relink()
	// What is known is kept until more comes.
	back := protocol.SessionReportResponse{NeedMore: in.Hash != o.hash, Responder: r.self, AcceptsDiff: true, Hash: o.hash, AcceptsCompact: true}
	if near, met := r.near(); met != in.ReachableHash {
		back.Reachable = near
	}
	return back, nil
}
