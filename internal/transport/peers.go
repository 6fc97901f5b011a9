package transport

import (
	"context"
	"sort"
	"time"

	"puffincrank/internal/fault"
)

// CountActivePeers counts the peers of a role, or of any role if it is empty, from which
// bytes arrived after a moment.
func (n *Node) CountActivePeers(role string, since time.Time) int {
	after, peers := since.Sub(n.started), map[string]bool{}
	for _, l := range n.listLinks() {
		if (role == "" || l.peer.Role == role) && time.Duration(l.conn.lastRead.Load()) > after {
			peers[l.peer.Node] = true
		}
	}
	return len(peers)
}

// PingRole pings the peers of a role from which bytes arrived most recently, at most limit
// of them, and reports whether one answers before the context ends. It dials no links.
func (n *Node) PingRole(ctx context.Context, role string, limit int) bool {
	links := n.linksByLastRead(role)
	links = links[:min(limit, len(links))]
	answers := make(chan bool, len(links))
	for _, l := range links {
		if !n.tasks.Go("ring", func(context.Context) {
			f, err := l.call(ctx, pingKind, nil)
			if err == nil {
				f.release()
			}
			// A peer that does not know the kind refuses it, which is an answer as well.
			answers <- err == nil || fault.Is(err, fault.Refused)
		}) {
			return false
		}
	}
	for range links {
		if <-answers {
			return true
		}
	}
	return false
}

// linksByLastRead returns the links to peers of a role, the one with the most recent bytes
// first.
func (n *Node) linksByLastRead(role string) []*link {
	var links []*link
	lastRead := map[*link]int64{}
	for _, l := range n.listLinks() {
		if l.peer.Role == role {
			links, lastRead[l] = append(links, l), l.conn.lastRead.Load()
		}
	}
	sort.Slice(links, func(first, second int) bool { return lastRead[links[first]] > lastRead[links[second]] })
	return links
}
