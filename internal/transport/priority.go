package transport

// priorityKind is a cast: its sender will go soon, and what waits for it goes before
// the rest.
const priorityKind = "link.haste"

// PrioritizeBulk tells all fellows that this node goes soon: the bulk that they have for
// it takes the next turns on their thin links, since it would be lost
// otherwise. Fellows that don't know the word pass over it.
func (n *Node) PrioritizeBulk() {
	if n.network != nil || n.prioritized.Swap(true) {
		return
	}
	for _, l := range n.listLinks() {
		l.enqueue(&queuedFrame{head: head{kind: priorityKind}}, false)
	}
}

// compareTurns tells which of two links has the next turn: one whose fellow goes soon,
// else the one on which bulk came first, whatever link it goes by.
func compareTurns(a, b *link) int {
	if first, second := a.prioritized.Load(), b.prioritized.Load(); first != second {
		if first {
			return -1
		}
		return 1
	}
	return int(a.oldestBulk.Load() - b.oldestBulk.Load())
}
