package transport

// haste is a cast: its sender will go soon, and what waits for it goes before
// the rest.
const haste = "link.haste"

// PrioritizeBulk tells all fellows that this node goes soon: the bulk that they have for
// it takes the next turns on their thin links, since it would be lost
// otherwise. Fellows that don't know the word pass over it.
func (n *Node) PrioritizeBulk() {
	if n.road != nil || n.hasty.Swap(true) {
		return
	}
	for _, l := range n.standing() {
		l.post(&item{head: head{kind: haste}}, false)
	}
}

// sooner tells which of two links has the next turn: one whose fellow goes soon,
// else the one on which bulk came first, whatever link it goes by.
func sooner(a, b *link) int {
	if x, y := a.haste.Load(), b.haste.Load(); x != y {
		if x {
			return -1
		}
		return 1
	}
	return int(a.since.Load() - b.since.Load())
}
