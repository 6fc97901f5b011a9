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

// memberChangesKept is how many changes of the member list are kept, for nodes that hold an
// older list.
const memberChangesKept = 4096

// membersPerPage is the maximum number of members in one message.
const membersPerPage = 512

// maxPlainDiff is how many members are sent uncompressed: for so few, the overhead of the
// compact encoding is not worth it.
const maxPlainDiff = 2

// nodeSession is the session of one proxy with this control node.
type nodeSession struct {
	member        membership.Member
	lastHeard     time.Time
	configVersion uint64
	trialCounts   []protocol.ArmCounts
	activeRoutes  []string
}

// onHeartbeat renews a session. A control node that is leaving or not connected to a
// majority of the stores says so, and the proxy tries another one.
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
	response := protocol.HeartbeatResponse{Connected: true, ConfirmedAgoMS: time.Since(r.confirmedAt).Milliseconds() + 1}
	// A probe only asks whether this control node is connected; it opens no session.
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

// addConfig adds the newest configuration to a heartbeat response: as patches from the
// version that the node holds, or else as the full document.
func (r *Registry) addConfig(response *protocol.HeartbeatResponse, heartbeat protocol.Heartbeat) {
	version, doc := r.document.Current()
	response.ConfigVersion = version
	if steps, ok := r.document.Since(heartbeat.ConfigVersion); ok && heartbeat.AcceptsPatch {
		response.Patches = steps
	} else if heartbeat.AcceptsCompact {
		// Compressed once for all nodes that need it.
		if r.compressed.version != version {
			r.compressed.version, r.compressed.document = version, compression.Compress(doc)
		}
		response.CompressedDocument = r.compressed.document
	} else {
		response.Document = doc
	}
}

// addMembersDiff adds the difference between the node's member list and the current one to
// a heartbeat response. If the node's hash isn't known here it adds nothing, and the node
// then requests the parts that differ.
func (r *Registry) addMembersDiff(response *protocol.HeartbeatResponse, heartbeat protocol.Heartbeat) {
	if !heartbeat.AcceptsDiff {
		response.Members = r.members.List().Members()
		return
	}
	if diff, ok := r.members.Since(heartbeat.MembersHash); ok && len(diff.Added)+len(diff.Removed) <= membersPerPage {
		response.IsDiff = true
		if heartbeat.AcceptsCompact && len(diff.Added)+len(diff.Removed) > maxPlainDiff {
			// Without a diff the node requests the parts, and is then told which other
			// nodes have them.
			if response.IsDiff = r.replica.HasRefillCapacity(); response.IsDiff {
				response.CompactDiff = r.encodedDiff(heartbeat.MembersHash, diff)
				r.replica.RecordRefillBytes(len(response.CompactDiff))
			}
		} else {
			response.Added, response.Removed = diff.Added, diff.Removed
		}
	}
}

// encodedDiff returns the encoded difference from a list hash to the current list. It is
// encoded once for all nodes that hold that list: when a whole region reconnects, every
// session needs the same diff at the same time. The caller holds mu.
func (r *Registry) encodedDiff(baseHash uint64, diff membership.Diff) []byte {
	if r.encodedDiffs.targetHash != r.members.Hash() {
		r.encodedDiffs.targetHash, r.encodedDiffs.byBaseHash = r.members.Hash(), map[uint64][]byte{}
	}
	if r.encodedDiffs.byBaseHash[baseHash] == nil {
		r.encodedDiffs.byBaseHash[baseHash] = diff.Encode()
	}
	return r.encodedDiffs.byBaseHash[baseHash]
}

// onMemberListRequest returns some of the parts of the member list that differ. Once the
// refill capacity of a heartbeat interval is used up, it names nodes that have them
// instead.
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

// endSession ends a session. The caller holds mu.
func (r *Registry) endSession(node string) {
	delete(r.sessions, node)
	r.localMembers.Remove(r.Settings.Node, node)
	r.members.Remove(r.Settings.Node, node)
}

// expireSessions ends sessions that were not renewed, and drops the reports of control
// nodes that have been silent for the session TTL. The caller holds mu.
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

// updateLinks updates the replica's links to match the member list, once for several
// changes. The caller holds mu.
func (r *Registry) updateLinks() {
	if r.linksUpdating || r.members.Hash() == r.linkedHash {
		return
	}
	// One goroutine applies the lists in order: an older list must never be applied last.
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

// retireOldIncarnations removes the entries that earlier incarnations of a node left
// behind: only one process may use a name.
func (r *Registry) retireOldIncarnations(member membership.Member) {
	r.group.Go("bury-old", func(ctx context.Context) {
		// The new incarnation removes them itself, after it has read what its worker was
		// registered as. This is the fallback for one that does not get that far.
		r.env.Sleep(ctx, 2*r.Settings.HeartbeatInterval())
		r.replica.RetireNode(member.Node, func(entry ormap.Entry) bool { return entry.Dot.Node != member.Node+"#"+member.Incarnation })
	})
}

// pushConfig sends a new configuration to every session here at once, as patches to nodes
// that hold an earlier version.
func (r *Registry) pushConfig() {
	type target struct {
		session     *nodeSession
		addr        string
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
			// A late push is still useful for as long as the session lasts.
			ctx, cancel := context.WithTimeout(ctx, r.Settings.SessionTTL())
			defer cancel()
			// A node that misses the push gets the configuration with its next heartbeat.
			heldVersion, err := controlclient.PushConfig(ctx, r.node, target.addr, r.document, target.heldVersion)
			if err != nil {
				return
			}
			r.mu.Lock()
			target.session.configVersion = max(target.session.configVersion, heldVersion)
			r.mu.Unlock()
		})
	}
}
