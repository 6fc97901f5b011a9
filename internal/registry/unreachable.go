package registry

import (
	"time"

	"puffincrank/internal/membership"
)

// recordAnswer records whether a control node answered the report sent at sentAt, so that a
// node that died leaves the member list before its session TTL ends.
func (r *Registry) recordAnswer(addr string, sentAt time.Time, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, peer := range r.peerNodes {
		switch {
		case peer.member.InternalAddr != addr:
		case answered:
			peer.silentSince = time.Time{}
			if sentAt.After(peer.lastAnsweredSentAt) {
				peer.lastAnsweredSentAt = sentAt
			}
		// An older report that times out late does not count against a newer answer.
		case sentAt.After(peer.lastAnsweredSentAt) && (peer.silentSince.IsZero() || peer.silentSince.After(sentAt)):
			peer.silentSince = sentAt
		}
	}
}

// unreachablePeers returns the control nodes that did not answer but are not yet excluded.
// They get a report at every heartbeat: at the idle interval the outage would be detected
// too late. The caller holds mu.
func (r *Registry) unreachablePeers() []string {
	var addrs []string
	for _, peer := range r.peerNodes {
		if peer.active && !peer.silentSince.IsZero() && !peer.excluded {
			addrs = append(addrs, peer.member.InternalAddr)
		}
	}
	return addrs
}

// dropUnreachable removes a control node from the member list when it has neither answered
// nor sent anything for LeaderTimeout, the time that a role stays without its holder. The
// sessions that it reported still count, since nodes that can't reach it may still reach
// those proxies. The caller holds mu.
func (r *Registry) dropUnreachable() {
	for name, peer := range r.peerNodes {
		if peer.active && !peer.silentSince.IsZero() && !peer.excluded && peer.lastHeard.Before(peer.silentSince) && time.Since(peer.silentSince) >= r.Settings.LeaderTimeout() {
			peer.excluded = true
			r.members.Remove(name, name)
		}
	}
}

// recordContact records that the control node sent a report; this ends its exclusion. The
// caller holds mu.
func (p *peerNode) recordContact(from membership.Member) {
	p.member, p.lastHeard, p.active, p.excluded = from, time.Now(), true, false
}
