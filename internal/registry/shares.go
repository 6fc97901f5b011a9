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
	f     membership.Fellow
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
	r.e.Looks()
	r.mu.Lock()
	r.expire()
	r.dropUnreachable()
	if !r.sure.IsZero() && time.Since(r.sure) <= r.Settings.ConfirmationTTL() {
		r.rep.Sound(time.Now().Add(r.Settings.SessionTTL()))
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
	in := protocol.Share{From: r.self, Hash: r.mine.Hash()}
	if d, ok := r.mine.Since(r.told); ok && r.told != in.Hash && len(d.Come)+len(d.Gone) <= membersPerPage {
		in.Diff, in.Base, in.Come, in.Gone = true, r.told, d.Come, d.Gone
	}
	r.told = in.Hash
	in.Met = met
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
			got, err := transport.Ask[protocol.ShareBack](ctx, r.n, a, "session.share", in)
			r.recordAnswer(a, began, err == nil)
			if err == nil {
				r.meet(got.Near)
			}
			if err == nil && got.Need {
				_, _ = transport.Ask[protocol.ShareBack](ctx, r.n, a, "session.share", r.more(got))
			}
		})
	}
}

// more gives a control node what it lacks: what differs from the list that it
// holds, if that is known here, or else the whole.
func (r *Registry) more(got protocol.ShareBack) protocol.Share {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := protocol.Share{From: r.self, Hash: r.mine.Hash()}
	if d, ok := r.mine.Since(got.Have); ok && got.Diff && got.Have != 0 {
		out.Diff, out.Base, out.Come, out.Gone = true, got.Have, d.Come, d.Gone
	} else {
		out.Full, out.List = true, r.mine.Book().List()
	}
	if got.Pack && len(out.List)+len(out.Come)+len(out.Gone) > plainDiff {
		out.Pack = membership.Diff{Come: append(out.Come, out.List...), Gone: out.Gone}.Pack()
		out.List, out.Come, out.Gone = nil, nil, nil
	}
	return out
}

func (r *Registry) onShare(_ context.Context, _ transport.Hello, in protocol.Share) (protocol.ShareBack, error) {
	if len(in.Pack) > 0 {
		d, err := membership.OpenDiff(in.Pack)
		if err != nil {
			return protocol.ShareBack{}, err
		}
		if in.Full {
			in.List = d.Come
		} else {
			in.Come, in.Gone = d.Come, d.Gone
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	who := in.From.Node
	o := r.others[who]
	if o == nil {
		o = &shared{}
		r.others[who] = o
	}
	// Who begins anew or was away lacks what is said here.
	r.owe = r.owe || !o.stands || o.f.Start != in.From.Start
	o.hears(in.From)
	r.roll.Set(who, in.From)
	switch {
	case in.Full:
		r.roll.Replace(who, append(in.List, in.From))
		o.hash = in.Hash
	case in.Diff && in.Base == o.hash && o.hash != in.Hash:
		for _, f := range in.Come {
			r.roll.Set(who, f)
		}
		for _, n := range in.Gone {
			r.roll.Drop(who, n)
		}
		o.hash = in.Hash
	}
	r.relink()
	// What is known is kept until more comes.
	back := protocol.ShareBack{Need: in.Hash != o.hash, Me: r.self, Diff: true, Have: o.hash, Pack: true}
	if near, met := r.near(); met != in.Met {
		back.Near = near
	}
	return back, nil
}
