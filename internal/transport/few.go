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
	return len(n.all)
}

// spare takes the links of ours that were used least lately off the list, until
// an eighth of the bound is free again, so that not each new link ends one. None
// that was used within the patience goes: the bound gives way to what is needed.
func (n *Node) spare() []*link {
	n.mu.Lock()
	defer n.mu.Unlock()
	type old struct {
		addr string
		l    *link
		used int64
	}
	var all []old
	for a, d := range n.links {
		if d.l != nil {
			all = append(all, old{a, d.l, d.l.used.Load()})
		}
	}
	many := len(all) - n.MaxIdleLinks*7/8
	slices.SortFunc(all, func(a, b old) int { return cmp.Compare(a.used, b.used) })
	var out []*link
	for _, o := range all[:max(many, 0)] {
		if n.now()-time.Duration(o.used) < n.SilenceTimeout {
			break
		}
		delete(n.links, o.addr)
		out = append(out, o.l)
	}
	return out
}

// rests tells that nothing is under way on a link of ours. Fellows make no calls
// over one that they didn't dial, so that it can be closed without a word.
func (l *link) rests() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.wait) == 0 && l.q.n == 0 && !l.busy && len(l.q.flow.marks) == 0
}

// trim closes links while there are more than the bound. A mesh has more fellows
// than a process has descriptors: whoever is met once, for repair or for one job,
// must not be kept for good.
func (n *Node) trim(ctx context.Context) {
	left := n.spare()
	for len(left) > 0 && ctx.Err() == nil {
		// A call that found the link on the list a moment ago is on it by then.
		n.rest(ctx, n.SilenceTimeout/4)
		left = slices.DeleteFunc(left, func(l *link) bool {
			if !l.rests() {
				return false
			}
			l.shut(endUnused)
			return true
		})
	}
	n.trims.Store(false)
}

// bounded starts the trimming when there are too many links of ours, unless it is
// under way.
func (n *Node) bounded() {
	n.mu.Lock()
	over := n.MaxIdleLinks > 0 && len(n.links) > n.MaxIdleLinks
	n.mu.Unlock()
	if over && !n.trims.Swap(true) && !n.g.Go("link-trim", n.trim) {
		n.trims.Store(false)
	}
}
