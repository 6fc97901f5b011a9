package registry

import (
	"context"
	"time"

	"puffincrank/internal/compression"
	"puffincrank/internal/controlclient"
	"puffincrank/internal/event"
	"puffincrank/internal/membership"
	"puffincrank/internal/ormap"
	"puffincrank/internal/protocol"
	"puffincrank/internal/transport"
)

// memberChangesKept is how many changes of the list of members are kept, for those who
// hold an older one.
const memberChangesKept = 4096

// membersPerPage is how many members one message brings at the most.
const membersPerPage = 512

// plainDiff is how many members are sent one by one: so few are not worth the short
// form's own frame.
const plainDiff = 2

// nodeSession is one proxy's session here.
type nodeSession struct {
	f       membership.Fellow
	heard   time.Time
	version uint64
	tallies []protocol.Tally
	live    []string
}

// onBeat renews a session. A control node that is out of touch with the
// stores, or leaving, says so, and the proxy tries another.
func (r *Registry) onBeat(_ context.Context, _ transport.Hello, in protocol.Beat) (protocol.Receipt, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.relink()
	if in.Bye {
		r.endSession(in.Fellow.Node)
		return protocol.Receipt{}, nil
	}
	if r.rules == nil && r.sure.IsZero() || time.Since(r.sure) > r.Settings.ConfirmationTTL() || r.life.Is("starting", "leaving", "shut", "lost") {
		return protocol.Receipt{}, nil
	}
	out := protocol.Receipt{In: true, Age: time.Since(r.sure).Milliseconds() + 1}
	// Who only looks for a control node in touch takes no session.
	if in.Look {
		if r.rules != nil {
			out.Version = r.rules.Version
		}
		return out, nil
	}
	s := r.own[in.Fellow.Node]
	if s == nil || s.f != in.Fellow {
		if s == nil || s.f.Start != in.Fellow.Start {
			r.e.Log.Emit(event.SessionUp, "node", in.Fellow.Node)
			r.buryOld(in.Fellow)
		}
		s = &nodeSession{f: in.Fellow}
		r.own[in.Fellow.Node] = s
		r.mine.Set(r.Settings.Node, s.f)
		r.roll.Set(r.Settings.Node, s.f)
	}
	s.heard, s.version, s.tallies, s.live = time.Now(), in.Version, in.Tallies, in.Live
	out.Hash, out.Count = r.roll.Hash(), r.roll.Fronts()
	if core, name := r.tell(); in.Core != name {
		out.Core = core
	}
	if r.rules != nil {
		out.Version = r.rules.Version
		if in.Version < out.Version {
			r.addMissing(&out, in)
		}
	}
	if in.Hash != out.Hash {
		r.addMembersDiff(&out, in)
	}
	return out, nil
}

// addMissing gives a beat the steps to the newest configuration from the one that its
// node holds, or else the whole.
func (r *Registry) addMissing(out *protocol.Receipt, in protocol.Beat) {
	version, doc := r.held.Now()
	out.Version = version
	if steps, ok := r.held.Since(in.Version); ok && in.Patch {
		out.Steps = steps
	} else if in.Short {
		// Shrunk once for all that ask for it.
		if r.shrunk.version != version {
			r.shrunk.version, r.shrunk.doc = version, compression.Shrink(doc)
		}
		out.Shrunk = r.shrunk.doc
	} else {
		out.Doc = doc
	}
}

// addMembersDiff tells a beat what differs from the list that its node holds. Nothing
// at all means that this hash isn't known here: the node then asks by parts.
func (r *Registry) addMembersDiff(out *protocol.Receipt, in protocol.Beat) {
	if !in.Diff {
		out.Members = r.roll.Book().List()
		return
	}
	if d, ok := r.roll.Since(in.Hash); ok && len(d.Come)+len(d.Gone) <= membersPerPage {
		out.Diff = true
		if in.Short && len(d.Come)+len(d.Gone) > plainDiff {
			// With nothing said it asks by parts, and is told whom to ask.
			if out.Diff = r.rep.Room(); out.Diff {
				out.Short = r.packed(in.Hash, d)
				r.rep.Spend(len(out.Short))
			}
		} else {
			out.Come, out.Gone = d.Come, d.Gone
		}
	}
}

// packed is what differs since a hash, packed once for all that hold it: a whole
// region that comes back is news to every session at the same time. mu is held.
func (r *Registry) packed(from uint64, d membership.Diff) []byte {
	if r.packs.to != r.roll.Hash() {
		r.packs.to, r.packs.from = r.roll.Hash(), map[uint64][]byte{}
	}
	if r.packs.from[from] == nil {
		r.packs.from[from] = d.Pack()
	}
	return r.packs.from[from]
}

// onMembers gives the parts of the list that differ, some at a time. Beyond what
// it hands out in a beat it names those who have them.
func (r *Registry) onMembers(_ context.Context, from transport.Hello, in protocol.ListAsk) (protocol.ListBack, error) {
	r.mu.Lock()
	b, at := r.roll.Book(), ""
	if s := r.own[from.Node]; s != nil {
		at = s.f.Inner
	}
	r.mu.Unlock()
	if !r.rep.Room() {
		return protocol.ListBack{Hash: b.Hash(), Busy: true, Try: r.rep.Given(from.Area, at)}, nil
	}
	out, err := controlclient.Differ(b, in)
	r.rep.Spend(controlclient.Cost(out))
	if err == nil && !out.More {
		r.rep.Gave(at, from.Area)
	}
	return out, err
}

// endSession ends a session; mu is held.
func (r *Registry) endSession(node string) {
	delete(r.own, node)
	r.mine.Drop(r.Settings.Node, node)
	r.roll.Drop(r.Settings.Node, node)
}

// expire ends the sessions that were not renewed, and what other control nodes
// said that were not heard since; mu is held.
func (r *Registry) expire() {
	for n, o := range r.others {
		if o.stands && time.Since(o.heard) > r.Settings.SessionTTL() {
			o.stands, o.hash = false, 0
			r.roll.DropAll(n)
		}
	}
	for n, s := range r.own {
		if time.Since(s.heard) > r.Settings.SessionTTL() {
			r.endSession(n)
			r.e.Log.Emit(event.SessionDown, "node", n)
		}
	}
}

// relink lets the replica's links follow the list, once for many changes; mu
// is held.
func (r *Registry) relink() {
	if r.linking || r.roll.Hash() == r.linked {
		return
	}
	// One after the other: of two lists in a row, the older must never be the
	// last word.
	r.linking = r.g.Go("peers", func(context.Context) {
		for {
			r.mu.Lock()
			b := r.roll.Book()
			if b.Hash() == r.linked {
				r.linking = false
				r.mu.Unlock()
				return
			}
			r.linked = b.Hash()
			r.mu.Unlock()
			r.rep.Peers(b)
		}
	})
}

// buryOld removes what earlier starts of a node left: one name, one process.
func (r *Registry) buryOld(f membership.Fellow) {
	r.g.Go("bury-old", func(ctx context.Context) {
		// The new start buries them itself, after it has looked at what its
		// worker was; this is for one that does not get so far.
		r.e.Pause(ctx, 2*r.Settings.HeartbeatInterval())
		r.rep.Retire(f.Node, func(e ormap.Entry) bool { return e.Dot.Node != f.Node+"#"+f.Start })
	})
}

// push sends a new configuration to every session here at once: to those that
// hold an earlier one the steps from there.
func (r *Registry) push() {
	type one struct {
		s    *nodeSession
		at   string
		have uint64
	}
	r.mu.Lock()
	var list []one
	for _, s := range r.own {
		list = append(list, one{s, s.f.Inner, s.version})
	}
	r.mu.Unlock()
	for _, o := range list {
		r.g.Go("push", func(ctx context.Context) {
			// Of use for as long as the session stands, however late it comes.
			ctx, end := context.WithTimeout(ctx, r.Settings.SessionTTL())
			defer end()
			// One that misses this gets it with its next beat.
			have, err := controlclient.Push(ctx, r.n, o.at, r.held, o.have)
			if err != nil {
				return
			}
			r.mu.Lock()
			o.s.version = max(o.s.version, have)
			r.mu.Unlock()
		})
	}
}
