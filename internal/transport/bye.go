package transport

import (
	"context"
	"time"

	"puffincrank/internal/task"
)

const goodbye = "link.bye"

// CloseGracefully ends the node's links politely. Fellows are told that this one goes:
// they send no more calls, what they sent before is answered, and only then
// may the links be closed. So a planned end leaves no call without an outcome.
func (n *Node) CloseGracefully(long time.Duration) {
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
			f, _ := l.call(ctx, goodbye, nil)
			f.free()
			told <- struct{}{}
		}) {
			return
		}
	}
	for range all {
		<-told
	}
	for ctx.Err() == nil && n.owes(all) {
		task.Sleep(ctx, n.SilenceTimeout/100)
	}
}

// owes tells that calls are being handled, or that receipts wait or are on
// their way out.
func (n *Node) owes(all []*link) bool {
	if n.under.Load() > 0 {
		return true
	}
	for _, l := range all {
		l.mu.Lock()
		owes := (l.busy || l.q.n > 0) && !l.over
		l.mu.Unlock()
		if owes {
			return true
		}
	}
	return false
}

// left takes a fellow's goodbye: no call goes out on this link after the
// receipt of it, which passes all that waits. So calls that still wait are
// certain not to go out. What was asked before is still answered.
func (l *link) left(f *frame) {
	l.n.unlist(l)
	l.mu.Lock()
	l.gone = true
	var back []*turn
	for _, i := range l.q.calls() {
		l.recall(i.turn)
		delete(l.wait, i.id)
		back = append(back, i.turn)
	}
	l.mu.Unlock()
	for _, t := range back {
		t.back <- &frame{head: head{bad: "unsent", say: "fellow is leaving"}}
	}
	l.receipt(f.head, goodbye, nil, nil, 0)
	f.free()
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
