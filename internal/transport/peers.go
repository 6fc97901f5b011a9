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
	after, peers := since.Sub(n.started), map[string]bool{}
	for _, l := range n.listLinks() {
		if (role == "" || l.peer.Role == role) && time.Duration(l.conn.lastRead.Load()) > after {
			peers[l.peer.Node] = true
		}
	}
	return len(peers)
}

// PingRole pings the fellows of a role that were heard last, so many at most, and
// tells whether one of them answers before the context ends. No link is dialed.
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
			// One that doesn't know the kind refuses it, which is an answer.
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

// linksByLastRead lists the links with fellows of a role, that heard last first.
func (n *Node) linksByLastRead(role string) []*link {
	var links []*link
	lastRead := map[*link]int64{}
	for _, l := range n.listLinks() {
		if l.peer.Role == role {
			links, lastRead[l] = append(links, l), l.conn.lastRead.Load()
		}
	}
	sort.Slice(links, func(a, b int) bool { return lastRead[links[a]] > lastRead[links[b]] })
	return links
}
