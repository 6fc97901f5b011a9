package transport

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// LinkCount counts the links that stand, whoever dialed them.
func (n *Node) LinkCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.openLinks)
}

// takeIdleLinks takes the links of ours that were used least lately off the list, until
// an eighth of the bound is free again, so that not each new link ends one. None
// that was used within the patience goes: the bound gives way to what is needed.
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
	slices.SortFunc(candidates, func(addr, b candidate) int { return cmp.Compare(addr.used, b.used) })
	var out []*link
	for _, idle := range candidates[:max(excess, 0)] {
		if n.now()-time.Duration(idle.used) < n.SilenceTimeout {
			break
		}
		delete(n.dialed, idle.addr)
		out = append(out, idle.l)
	}
	return out
}

// isIdle tells that nothing is under way on a link of ours. Fellows make no calls
// over one that they didn't dial, so that it can be closed without a word.
func (l *link) isIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending) == 0 && l.queue.count == 0 && !l.writing && len(l.queue.congestion.probes) == 0
}

// closeIdleLinks closes links while there are more than the bound. A mesh has more fellows
// than a process has descriptors: whoever is met once, for repair or for one job,
// must not be kept for good.
func (n *Node) closeIdleLinks(ctx context.Context) {
	idle := n.takeIdleLinks()
	for len(idle) > 0 && ctx.Err() == nil {
		// A call that found the link on the list a moment ago is on it by then.
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

// trimIfOverLimit starts the trimming when there are too many links of ours, unless it is
// under way.
func (n *Node) trimIfOverLimit() {
	n.mu.Lock()
	over := n.MaxIdleLinks > 0 && len(n.dialed) > n.MaxIdleLinks
	n.mu.Unlock()
	if over && !n.trimming.Swap(true) && !n.tasks.Go("link-trim", n.closeIdleLinks) {
		n.trimming.Store(false)
	}
}
