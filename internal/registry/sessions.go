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
	f       membership.Member
	heard   time.Time
	version uint64
	tallies []protocol.ArmCounts
	live    []string
}

// onBeat renews a session. A control node that is out of touch with the
// stores, or leaving, says so, and the proxy tries another.
func (r *Registry) onBeat(_ context.Context, _ transport.Hello, in protocol.Heartbeat) (protocol.HeartbeatResponse, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.relink()
	if in.Leaving {
		r.endSession(in.Member.Node)
		return protocol.HeartbeatResponse{}, nil
	}
	if r.rules == nil && r.sure.IsZero() || time.Since(r.sure) > r.Settings.ConfirmationTTL() || r.life.Is("starting", "leaving", "shut", "lost") {
		return protocol.HeartbeatResponse{}, nil
	}
	out := protocol.HeartbeatResponse{InTouch: true, ConfirmedAgoMS: time.Since(r.sure).Milliseconds() + 1}
	// Who only looks for a control node in touch takes no session.
	if in.Probe {
		if r.rules != nil {
			out.ConfigVersion = r.rules.Version
		}
		return out, nil
	}
	s := r.own[in.Member.Node]
	if s == nil || s.f != in.Member {
		if s == nil || s.f.Incarnation != in.Member.Incarnation {
			r.e.Log.Emit(event.SessionUp, "node", in.Member.Node)
			r.buryOld(in.Member)
		}
		s = &nodeSession{f: in.Member}
		r.own[in.Member.Node] = s
		r.mine.Set(r.Settings.Node, s.f)
		r.roll.Set(r.Settings.Node, s.f)
	}
	s.heard, s.version, s.tallies, s.live = time.Now(), in.ConfigVersion, in.TrialCounts, in.ActiveRoutes
	out.MembersHash, out.ProxyCount = r.roll.Hash(), r.roll.ProxyCount()
	if core, name := r.tell(); in.ControlNodesHash != name {
		out.ControlNodes = core
	}
	if r.rules != nil {
		out.ConfigVersion = r.rules.Version
		if in.ConfigVersion < out.ConfigVersion {
			r.addMissing(&out, in)
		}
	}
	if in.MembersHash != out.MembersHash {
		r.addMembersDiff(&out, in)
	}
	return out, nil
}

// addMissing gives a beat the steps to the newest configuration from the one that its
// node holds, or else the whole.
func (r *Registry) addMissing(out *protocol.HeartbeatResponse, in protocol.Heartbeat) {
	version, doc := r.held.Current()
	out.ConfigVersion = version
	if steps, ok := r.held.Since(in.ConfigVersion); ok && in.AcceptsPatch {
		out.Patches = steps
	} else if in.AcceptsCompact {
		// Shrunk once for all that ask for it.
		if r.shrunk.version != version {
			r.shrunk.version, r.shrunk.doc = version, compression.Compress(doc)
		}
		out.CompressedDocument = r.shrunk.doc
	} else {
		out.Document = doc
	}
}

// addMembersDiff tells a beat what differs from the list that its node holds. Nothing
// at all means that this hash isn't known here: the node then asks by parts.
func (r *Registry) addMembersDiff(out *protocol.HeartbeatResponse, in protocol.Heartbeat) {
	if !in.AcceptsDiff {
		out.Members = r.roll.List().Members()
		return
	}
	if d, ok := r.roll.Since(in.MembersHash); ok && len(d.Added)+len(d.Removed) <= membersPerPage {
		out.IsDiff = true
		if in.AcceptsCompact && len(d.Added)+len(d.Removed) > plainDiff {
			// With nothing said it asks by parts, and is told whom to ask.
			if out.IsDiff = r.rep.HasRefillCapacity(); out.IsDiff {
				out.CompactDiff = r.packed(in.MembersHash, d)
				r.rep.RecordRefillBytes(len(out.CompactDiff))
			}
		} else {
			out.Added, out.Removed = d.Added, d.Removed
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
		r.packs.from[from] = d.Encode()
	}
	return r.packs.from[from]
}

// onMembers gives the parts of the list that differ, some at a time. Beyond what
// it hands out in a beat it names those who have them.
func (r *Registry) onMembers(_ context.Context, from transport.Hello, in protocol.MemberListRequest) (protocol.MemberListResponse, error) {
	r.mu.Lock()
	b, at := r.roll.List(), ""
	if s := r.own[from.Node]; s != nil {
		at = s.f.InternalAddr
	}
	r.mu.Unlock()
	if !r.rep.HasRefillCapacity() {
		return protocol.MemberListResponse{Hash: b.Hash(), Busy: true, Alternatives: r.rep.RefilledNodes(from.Zone, at)}, nil
	}
	out, err := controlclient.DiffMembers(b, in)
	r.rep.RecordRefillBytes(controlclient.ResponseSize(out))
	if err == nil && !out.More {
		r.rep.RecordRefill(at, from.Zone)
	}
	return out, err
}

// endSession ends a session; mu is held.
func (r *Registry) endSession(node string) {
	delete(r.own, node)
	r.mine.Remove(r.Settings.Node, node)
	r.roll.Remove(r.Settings.Node, node)
}

// expire ends the sessions that were not renewed, and what other control nodes
// said that were not heard since; mu is held.
func (r *Registry) expire() {
	for n, o := range r.others {
		if o.stands && time.Since(o.heard) > r.Settings.SessionTTL() {
			o.stands, o.hash = false, 0
			r.roll.RemoveSource(n)
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
			b := r.roll.List()
			if b.Hash() == r.linked {
				r.linking = false
				r.mu.Unlock()
				return
			}
			r.linked = b.Hash()
			r.mu.Unlock()
			r.rep.SetMembers(b)
		}
	})
}

// buryOld removes what earlier starts of a node left: one name, one process.
func (r *Registry) buryOld(f membership.Member) {
	r.g.Go("bury-old", func(ctx context.Context) {
		// The new start buries them itself, after it has looked at what its
		// worker was; this is for one that does not get so far.
		r.e.Sleep(ctx, 2*r.Settings.HeartbeatInterval())
		r.rep.RetireNode(f.Node, func(e ormap.Entry) bool { return e.Dot.Node != f.Node+"#"+f.Incarnation })
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
		list = append(list, one{s, s.f.InternalAddr, s.version})
	}
	r.mu.Unlock()
	for _, o := range list {
		r.g.Go("push", func(ctx context.Context) {
			// Of use for as long as the session stands, however late it comes.
			ctx, end := context.WithTimeout(ctx, r.Settings.SessionTTL())
			defer end()
			// One that misses this gets it with its next beat.
			have, err := controlclient.PushConfig(ctx, r.n, o.at, r.held, o.have)
			if err != nil {
				return
			}
			r.mu.Lock()
			o.s.version = max(o.s.version, have)
			r.mu.Unlock()
		})
	}
}
