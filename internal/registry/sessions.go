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

// maxPlainDiff is how many members are sent one by one: so few are not worth the short
// form's own frame.
const maxPlainDiff = 2

// nodeSession is one proxy's session here.
type nodeSession struct {
	member        membership.Member
	lastHeard     time.Time
	configVersion uint64
	trialCounts   []protocol.ArmCounts
	activeRoutes  []string
}

// onHeartbeat renews a session. A control node that is out of touch with the
// stores, or leaving, says so, and the proxy tries another.
func (r *Registry) onHeartbeat(_ context.Context, _ transport.Hello, heartbeat protocol.Heartbeat) (protocol.HeartbeatResponse, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.updateLinks()
	if heartbeat.Leaving {
		r.endSession(heartbeat.Member.Node)
		return protocol.HeartbeatResponse{}, nil
	}
	if r.rules == nil && r.confirmedAt.IsZero() || time.Since(r.confirmedAt) > r.Settings.ConfirmationTTL() || r.lifecycle.Is("starting", "leaving", "shut", "lost") {
		return protocol.HeartbeatResponse{}, nil
	}
	response := protocol.HeartbeatResponse{InTouch: true, ConfirmedAgoMS: time.Since(r.confirmedAt).Milliseconds() + 1}
	// Who only looks for a control node in touch takes no session.
	if heartbeat.Probe {
		if r.rules != nil {
			response.ConfigVersion = r.rules.Version
		}
		return response, nil
	}
	session := r.sessions[heartbeat.Member.Node]
	if session == nil || session.member != heartbeat.Member {
		if session == nil || session.member.Incarnation != heartbeat.Member.Incarnation {
			r.env.Log.Emit(event.SessionUp, "node", heartbeat.Member.Node)
			r.retireOldIncarnations(heartbeat.Member)
		}
		session = &nodeSession{member: heartbeat.Member}
		r.sessions[heartbeat.Member.Node] = session
		r.localMembers.Set(r.Settings.Node, session.member)
		r.members.Set(r.Settings.Node, session.member)
	}
	session.lastHeard, session.configVersion, session.trialCounts, session.activeRoutes = time.Now(), heartbeat.ConfigVersion, heartbeat.TrialCounts, heartbeat.ActiveRoutes
	response.MembersHash, response.ProxyCount = r.members.Hash(), r.members.ProxyCount()
	if addrs, hash := r.cachedControlNodes(); heartbeat.ControlNodesHash != hash {
		response.ControlNodes = addrs
	}
	if r.rules != nil {
		response.ConfigVersion = r.rules.Version
		if heartbeat.ConfigVersion < response.ConfigVersion {
			r.addConfig(&response, heartbeat)
		}
	}
	if heartbeat.MembersHash != response.MembersHash {
		r.addMembersDiff(&response, heartbeat)
	}
	return response, nil
}

// addConfig gives a beat the steps to the newest configuration from the one that its
// node holds, or else the whole.
func (r *Registry) addConfig(response *protocol.HeartbeatResponse, heartbeat protocol.Heartbeat) {
	version, doc := r.document.Current()
	response.ConfigVersion = version
	if steps, ok := r.document.Since(heartbeat.ConfigVersion); ok && heartbeat.AcceptsPatch {
		response.Steps = steps
	} else if heartbeat.AcceptsCompact {
		// Shrunk once for all that ask for it.
		if r.compressed.version != version {
			r.compressed.version, r.compressed.document = version, compression.Compress(doc)
		}
		response.CompressedDocument = r.compressed.document
	} else {
		response.Document = doc
	}
}

// addMembersDiff tells a beat what differs from the list that its node holds. Nothing
// at all means that this hash isn't known here: the node then asks by parts.
func (r *Registry) addMembersDiff(response *protocol.HeartbeatResponse, heartbeat protocol.Heartbeat) {
	if !heartbeat.AcceptsDiff {
		response.Members = r.members.List().Members()
		return
	}
	if diff, ok := r.members.Since(heartbeat.MembersHash); ok && len(diff.Added)+len(diff.Removed) <= membersPerPage {
		response.IsDiff = true
		if heartbeat.AcceptsCompact && len(diff.Added)+len(diff.Removed) > maxPlainDiff {
			// With nothing said it asks by parts, and is told whom to ask.
			if response.IsDiff = r.replica.HasRefillCapacity(); response.IsDiff {
				response.CompactDiff = r.encodedDiff(heartbeat.MembersHash, diff)
				r.replica.RecordRefillBytes(len(response.CompactDiff))
			}
		} else {
			response.Added, response.Removed = diff.Added, diff.Removed
		}
	}
}

// encodedDiff is what differs since a hash, packed once for all that hold it: a whole
// region that comes back is news to every session at the same time. mu is held.
func (r *Registry) encodedDiff(baseHash uint64, diff membership.Diff) []byte {
	if r.encodedDiffs.targetHash != r.members.Hash() {
		r.encodedDiffs.targetHash, r.encodedDiffs.byBaseHash = r.members.Hash(), map[uint64][]byte{}
	}
	if r.encodedDiffs.byBaseHash[baseHash] == nil {
		r.encodedDiffs.byBaseHash[baseHash] = diff.Encode()
	}
	return r.encodedDiffs.byBaseHash[baseHash]
}

// onMemberListRequest gives the parts of the list that differ, some at a time. Beyond what
// it hands out in a beat it names those who have them.
func (r *Registry) onMemberListRequest(_ context.Context, from transport.Hello, request protocol.MemberListRequest) (protocol.MemberListResponse, error) {
	r.mu.Lock()
	list, addr := r.members.List(), ""
	if session := r.sessions[from.Node]; session != nil {
		addr = session.member.InternalAddr
	}
	r.mu.Unlock()
	if !r.replica.HasRefillCapacity() {
		return protocol.MemberListResponse{Hash: list.Hash(), Busy: true, Alternatives: r.replica.RefilledNodes(from.Zone, addr)}, nil
	}
	response, err := controlclient.DiffMembers(list, request)
	r.replica.RecordRefillBytes(controlclient.ResponseSize(response))
	if err == nil && !response.More {
		r.replica.RecordRefill(addr, from.Zone)
	}
	return response, err
}

// endSession ends a session; mu is held.
func (r *Registry) endSession(node string) {
	delete(r.sessions, node)
	r.localMembers.Remove(r.Settings.Node, node)
	r.members.Remove(r.Settings.Node, node)
}

// expireSessions ends the sessions that were not renewed, and what other control nodes
// said that were not heard since; mu is held.
func (r *Registry) expireSessions() {
	for name, peer := range r.peerNodes {
		if peer.active && time.Since(peer.lastHeard) > r.Settings.SessionTTL() {
			peer.active, peer.listHash = false, 0
			r.members.RemoveSource(name)
		}
	}
	for name, session := range r.sessions {
		if time.Since(session.lastHeard) > r.Settings.SessionTTL() {
			r.endSession(name)
			r.env.Log.Emit(event.SessionDown, "node", name)
		}
	}
}

// updateLinks lets the replica's links follow the list, once for many changes; mu
// is held.
func (r *Registry) updateLinks() {
	if r.linksUpdating || r.members.Hash() == r.linkedHash {
		return
	}
	// One after the other: of two lists in a row, the older must never be the
	// last word.
	r.linksUpdating = r.group.Go("peers", func(context.Context) {
		for {
			r.mu.Lock()
			list := r.members.List()
			if list.Hash() == r.linkedHash {
				r.linksUpdating = false
				r.mu.Unlock()
				return
			}
			r.linkedHash = list.Hash()
			r.mu.Unlock()
			r.replica.SetMembers(list)
		}
	})
}

// retireOldIncarnations removes what earlier starts of a node left: one name, one process.
func (r *Registry) retireOldIncarnations(member membership.Member) {
	r.group.Go("bury-old", func(ctx context.Context) {
		// The new start buries them itself, after it has looked at what its
		// worker was; this is for one that does not get so far.
		r.env.Sleep(ctx, 2*r.Settings.HeartbeatInterval())
		r.replica.RetireNode(member.Node, func(entry ormap.Entry) bool { return entry.Dot.Node != member.Node+"#"+member.Incarnation })
	})
}

// pushConfig sends a new configuration to every session here at once: to those that
// hold an earlier one the steps from there.
func (r *Registry) pushConfig() {
	type target struct {
		session     *nodeSession
		at          string
		heldVersion uint64
	}
	r.mu.Lock()
	var targets []target
	for _, session := range r.sessions {
		targets = append(targets, target{session, session.member.InternalAddr, session.configVersion})
	}
	r.mu.Unlock()
	for _, target := range targets {
		r.group.Go("push", func(ctx context.Context) {
			// Of use for as long as the session stands, however late it comes.
			ctx, cancel := context.WithTimeout(ctx, r.Settings.SessionTTL())
			defer cancel()
			// One that misses this gets it with its next beat.
			heldVersion, err := controlclient.PushConfig(ctx, r.node, target.at, r.document, target.heldVersion)
			if err != nil {
				return
			}
			r.mu.Lock()
			target.session.configVersion = max(target.session.configVersion, heldVersion)
			r.mu.Unlock()
		})
	}
}
