package wire

import (
	"context"
	"time"

	"puffincrank/internal/task"
)

const goodbye = "link.bye"

// Leave ends the node's links politely. Fellows are told that this one goes:
// they send no more calls, what they sent before is answered, and only then
// may the links be closed. So a planned end leaves no call without an outcome.
func (n *Node) Leave(long time.Duration) {
	ctx, end := context.WithTimeout(n.g.Context(), long)
	defer end()
	if n.ear != nil {
		_ = n.ear.Close()
	}
	all := n.standing()
	told := make(chan struct{}, len(all))
	for _, l := range all {
		if !n.g.Go("goodbye", func(context.Context) {
			// A fellow that knows no goodbye refuses it by name: the links then
			// end as they always did with it.
			_, _ = l.call(ctx, goodbye, nil)
			told <- struct{}{}
		}) {
			return
		}
	}
	for range all {
		<-told
	}
	for ctx.Err() == nil && n.owes(all) {
		task.Pause(ctx, n.Patience/100)
	}
}

// owes tells that calls are being handled, or receipts are on their way out.
func (n *Node) owes(all []*link) bool {
	if n.under.Load() > 0 {
		return true
	}
	for _, l := range all {
		select {
		case <-l.done:
		default:
			if l.owed.Load() > 0 {
				return true
			}
		}
	}
	return false
}

// left takes a fellow's goodbye: no call goes out on this link after the
// receipt of it. What was asked before is still answered.
func (l *link) left(f frame) {
	l.n.unlist(l)
	l.sending.Lock()
	defer l.sending.Unlock()
	l.gone = true
	l.owed.Add(1)
	select {
	case l.out <- frame{ID: f.ID, of: f.Kind}:
	case <-l.done:
	}
}

// unlist makes the next call to the fellow dial anew.
func (n *Node) unlist(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for a, d := range n.links {
		if d.l == l {
			delete(n.links, a)
		}
	}
}
