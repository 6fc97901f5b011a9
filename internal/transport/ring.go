package transport

import (
	"context"
	"sort"
	"time"

	"puffincrank/internal/fault"
)

// CountActivePeers counts the fellows of a role, of any for none, from whom bytes came
// in since a moment.
func (n *Node) CountActivePeers(role string, since time.Time) int {
	from, who := since.Sub(n.born), map[string]bool{}
	for _, l := range n.standing() {
		if (role == "" || l.hail.Role == role) && time.Duration(l.conn.seen.Load()) > from {
			who[l.hail.Node] = true
		}
	}
	return len(who)
}

// PingRole pings the fellows of a role that were heard last, so many at most, and
// tells whether one of them answers before the context ends. No link is dialed.
func (n *Node) PingRole(ctx context.Context, role string, most int) bool {
	all := n.latest(role)
	all = all[:min(most, len(all))]
	back := make(chan bool, len(all))
	for _, l := range all {
		if !n.g.Go("ring", func(context.Context) {
			f, err := l.call(ctx, alive, nil)
			if err == nil {
				f.free()
			}
			// One that doesn't know the kind refuses it, which is an answer.
			back <- err == nil || fault.Is(err, fault.Refused)
		}) {
			return false
		}
	}
	for range all {
		if <-back {
			return true
		}
	}
	return false
}

// latest lists the links with fellows of a role, that heard last first.
func (n *Node) latest(role string) []*link {
	var all []*link
	seen := map[*link]int64{}
	for _, l := range n.standing() {
		if l.hail.Role == role {
			all, seen[l] = append(all, l), l.conn.seen.Load()
		}
	}
	sort.Slice(all, func(a, b int) bool { return seen[all[a]] > seen[all[b]] })
	return all
}
