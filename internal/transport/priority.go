package transport

// priorityKind is the kind of a one-way message: its sender is about to leave, and what is
// queued for it goes before other bulk.
const priorityKind = "link.haste"

// PrioritizeBulk tells all peers that this node is about to leave: the bulk that they have
// queued for it takes the next turns in their zones' schedules, because it would be lost
// otherwise. Peers that do not know the message ignore it.
func (n *Node) PrioritizeBulk() {
	if n.network != nil || n.prioritized.Swap(true) {
		return
	}
	for _, l := range n.listLinks() {
		l.enqueue(&queuedFrame{head: head{kind: priorityKind}}, false)
	}
}

// compareTurns orders links by who gets the next turn: first those whose peer is about to
// leave, then those whose bulk was queued earliest.
func compareTurns(a, b *link) int {
	if first, second := a.prioritized.Load(), b.prioritized.Load(); first != second {
		if first {
			return -1
		}
		return 1
	}
	return int(a.oldestBulk.Load() - b.oldestBulk.Load())
}
