package registry

import (
	"time"

	"puffincrank/internal/membership"
)

// recordAnswer notes whether a control node answered a word that began at a time,
// so that one that ended is out of the list before its sessions' time is over.
func (r *Registry) recordAnswer(addr string, sentAt time.Time, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, peer := range r.peerNodes {
		switch {
		case peer.member.InternalAddr != addr:
		case answered:
			peer.silentSince = time.Time{}
			if sentAt.After(peer.lastAnsweredStart) {
				peer.lastAnsweredStart = sentAt
			}
		// An older word that is given up late says nothing against a newer one.
		case sentAt.After(peer.lastAnsweredStart) && (peer.silentSince.IsZero() || peer.silentSince.After(sentAt)):
			peer.silentSince = sentAt
		}
	}
}

// unreachablePeers gives the control nodes whose end is not certain yet: a word goes to
// them at each beat, as a word now and then would find it out too late. mu is
// held.
func (r *Registry) unreachablePeers() []string {
	var addrs []string
	for _, peer := range r.peerNodes {
		if peer.active && !peer.silentSince.IsZero() && !peer.excluded {
			addrs = append(addrs, peer.member.InternalAddr)
		}
	}
	return addrs
}

// dropUnreachable takes a control node off the list that answered nothing for as long as
// a role stands without its holder, and said nothing itself meanwhile. What it
// said of its sessions goes on counting: who is cut off from it is not from them.
// mu is held.
func (r *Registry) dropUnreachable() {
	for name, peer := range r.peerNodes {
		if peer.active && !peer.silentSince.IsZero() && !peer.excluded && peer.lastHeard.Before(peer.silentSince) && time.Since(peer.silentSince) >= r.Settings.LeaderTimeout() {
			peer.excluded = true
			r.members.Remove(name, name)
		}
	}
}

// recordContact takes in that a control node spoke: it is one again. mu is held.
func (o *peerNode) recordContact(from membership.Member) {
	o.member, o.lastHeard, o.active, o.excluded = from, time.Now(), true, false
}
