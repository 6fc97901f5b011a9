package transport

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// LinkCount returns the number of open links, whichever side dialed them.
func (n *Node) LinkCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.openLinks)
}

// takeIdleLinks removes the least recently used links that this node dialed from its map,
// until an eighth of MaxIdleLinks is free again, so that not every new link closes
// another. Links used within the silence timeout stay: the limit yields to demand.
func (n *Node) takeIdleLinks() []*link {
	n.mu.Lock()
	defer n.mu.Unlock()
	type candidate struct {
		addr string
		l    *link
		used int64
	}
	var candidates []candidate
	for addr, dial := range n.dialed {
		if dial.link != nil {
			candidates = append(candidates, candidate{addr, dial.link, dial.link.lastUsed.Load()})
		}
	}
	excess := len(candidates) - n.MaxIdleLinks*7/8
	slices.SortFunc(candidates, func(first, second candidate) int { return cmp.Compare(first.used, second.used) })
	var removed []*link
	for _, idle := range candidates[:max(excess, 0)] {
		if n.now()-time.Duration(idle.used) < n.SilenceTimeout {
			break
		}
		delete(n.dialed, idle.addr)
		removed = append(removed, idle.l)
	}
	return removed
}

// isIdle reports whether nothing is in progress on a link that this node dialed. Peers
// make no calls over links that they did not dial, so it can be closed without notice.
func (l *link) isIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending) == 0 && l.queue.count == 0 && !l.writing && len(l.queue.congestion.probes) == 0
}

// closeIdleLinks closes links while there are more than MaxIdleLinks. A cluster may have
// more nodes than a process has file descriptors, so a link that was needed once, for
// repair or for one request, must not stay open for good.
func (n *Node) closeIdleLinks(ctx context.Context) {
	idle := n.takeIdleLinks()
	for len(idle) > 0 && ctx.Err() == nil {
		// A call that took the link from the map a moment ago is registered on it after this
		// wait.
		n.sleep(ctx, n.SilenceTimeout/4)
		idle = slices.DeleteFunc(idle, func(l *link) bool {
			if !l.isIdle() {
				return false
			}
			l.terminate(endUnused)
			return true
		})
	}
	n.trimming.Store(false)
}

// trimIfOverLimit starts closing idle links if this node has dialed too many, unless that
// is in progress already.
func (n *Node) trimIfOverLimit() {
	n.mu.Lock()
	over := n.MaxIdleLinks > 0 && len(n.dialed) > n.MaxIdleLinks
	n.mu.Unlock()
	if over && !n.trimming.Swap(true) && !n.tasks.Go("link-trim", n.closeIdleLinks) {
		n.trimming.Store(false)
	}
}
