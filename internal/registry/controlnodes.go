package registry

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"puffincrank/internal/membership"
)

// reachableNodes gives the control nodes heard here, this one first, and a name for the
// set of them; mu is held.
func (r *Registry) reachableNodes() ([]string, uint64) {
	addrs := []string{r.Settings.InternalAddr}
	for _, peer := range r.peerNodes {
		if time.Since(peer.lastHeard) <= r.Settings.SessionTTL() && !slices.Contains(addrs, peer.member.InternalAddr) {
			addrs = append(addrs, peer.member.InternalAddr)
		}
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(strings.Join(slices.Sorted(slices.Values(addrs)), " ")))
	return addrs, hash.Sum64()
}

// controlNodesLocked gives the control nodes' addresses; mu is held.
func (r *Registry) controlNodesLocked() []string {
	addrs, _ := r.reachableNodes()
	for _, seed := range r.Settings.Seeds {
		if !slices.Contains(addrs, seed) {
			addrs = append(addrs, seed)
		}
	}
	return addrs
}

// cachedControlNodes is what beats are told of the control nodes: their addresses and the
// name of that list. It is worked out once for a part of a beat, since hundreds
// of sessions ask for it in each and it grows with the control nodes; mu is held.
func (r *Registry) cachedControlNodes() ([]string, uint64) {
	if r.nodeList.computedAt.IsZero() || time.Since(r.nodeList.computedAt) > r.Settings.HeartbeatInterval()/8 {
		r.nodeList.addrs = r.controlNodesLocked()
		r.nodeList.hash, r.nodeList.computedAt = membership.HashNames(r.nodeList.addrs), time.Now()
	}
	return r.nodeList.addrs, r.nodeList.hash
}

func (r *Registry) controlNodes() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.controlNodesLocked()
}

// reportTargets gives the control nodes to share with: those heard, those that they
// hear, and the seeds. A seed that is not heard may be gone for good; it is
// tried now and then, and tells of itself when it comes. mu is held.
func (r *Registry) reportTargets() []string {
	addrs, _ := r.reachableNodes()
	r.targetRounds++
	if len(addrs) == 1 || r.targetRounds%5 == 0 {
		addrs = r.controlNodesLocked()
	}
	for addr, reportedAt := range r.indirectPeers {
		if time.Since(reportedAt) > r.Settings.SessionTTL() {
			delete(r.indirectPeers, addr)
		} else if !slices.Contains(addrs, addr) {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// recordIndirectPeers notes control nodes that a peer hears itself. Word of them goes no
// further until this node hears them too, so that a dead one is forgotten.
func (r *Registry) recordIndirectPeers(addrs []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, addr := range addrs {
		if addr != r.Settings.InternalAddr {
			r.indirectPeers[addr] = time.Now()
		}
	}
}
