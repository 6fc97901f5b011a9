package registry

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"puffincrank/internal/membership"
)

// reachableNodes returns the addresses of the control nodes that this node has heard from
// within the session TTL, its own first, and a hash of the set. The caller holds mu.
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

// controlNodesLocked returns the addresses of the reachable control nodes and the seeds.
// The caller holds mu.
func (r *Registry) controlNodesLocked() []string {
	addrs, _ := r.reachableNodes()
	for _, seed := range r.Settings.Seeds {
		if !slices.Contains(addrs, seed) {
			addrs = append(addrs, seed)
		}
	}
	return addrs
}

// cachedControlNodes returns the control nodes' addresses and a hash of the list, as
// heartbeat responses carry them. The list is computed at most once per eighth of a
// heartbeat interval: hundreds of sessions need it in each interval, and its cost grows
// with the number of control nodes. The caller holds mu.
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

// reportTargets returns the control nodes to send session reports to: the reachable ones,
// those that a peer reaches, and in every fifth round, or when no other is reachable, the
// seeds as well. A seed that is silent may be gone for good, and it reports by itself when
// it starts. The caller holds mu.
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

// recordIndirectPeers records control nodes that a peer can reach. They are passed on to
// others only once this node has heard from them itself, so that dead nodes are forgotten.
func (r *Registry) recordIndirectPeers(addrs []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, addr := range addrs {
		if addr != r.Settings.InternalAddr {
			r.indirectPeers[addr] = time.Now()
		}
	}
}
