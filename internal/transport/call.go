package transport

import (
	"context"
	"time"

	"puffincrank/internal/fault"
)

// Call calls a peer and decodes its response. The kind of an error says what is known
// about the call: with Unsent and Refused it was not executed, with Unknown it may have
// been. The call uses the lane set in ctx.
func Call[O any](ctx context.Context, n *Node, addr, kind string, message any) (O, error) {
	var result O
	body, err := encode(message)
	if err != nil {
		return result, fault.Wrap(fault.Unsent, err, kind)
	}
	response, err := n.call(ctx, addr, kind, body)
	if err != nil {
		return result, err
	}
	err = Decode(response.body, &result)
	response.release()
	return result, fault.Wrap(fault.Unknown, err, kind)
}

// call sends a call over the link to addr, or over the in-process network if there is one.
// It takes ownership of the body.
func (n *Node) call(ctx context.Context, addr, kind string, body *buffer) (*frame, error) {
	if n.network != nil {
		return n.network.send(ctx, n, addr, kind, body, n.lastCallID.Add(1))
	}
	l, err := n.linkTo(ctx, addr)
	if err != nil {
		body.release()
		return nil, err
	}
	return l.call(ctx, kind, body)
}

// Send sends a one-way message, which has no response. A loss is not detected here and is
// left to anti-entropy repair.
func (n *Node) Send(ctx context.Context, addr, kind string, message any) error {
	body, err := encode(message)
	if err != nil {
		return err
	}
	if n.network != nil {
		_, err = n.network.send(ctx, n, addr, kind, body, 0)
		return err
	}
	l, err := n.linkTo(ctx, addr)
	if err != nil {
		body.release()
		return err
	}
	queued := &queuedFrame{head: head{kind: kind, lane: contextLane(ctx)}, body: body}
	if n.exceedsFrameLimit(queued) || !l.enqueue(queued, false) {
		return fault.New(fault.Unsent, "link to %s takes no more", l.peer.Node)
	}
	return nil
}

// exceedsFrameLimit reports whether a message is larger than MaxFrameBytes.
func (n *Node) exceedsFrameLimit(queued *queuedFrame) bool {
	return queued.body.size()+maxHeadSize+len(queued.kind)+len(queued.errorText) > n.MaxFrameBytes
}

// call sends one call over the link and waits for its response.
func (l *link) call(ctx context.Context, kind string, body *buffer) (*frame, error) {
	queued := &queuedFrame{head: head{kind: kind, id: l.nextID.Add(1), lane: contextLane(ctx)}, body: body}
	if deadline, ok := ctx.Deadline(); ok {
		queued.timeoutMS = time.Until(deadline).Milliseconds()
		if queued.timeoutMS <= 0 {
			body.release()
			return nil, fault.New(fault.Unsent, "no time left for %s", kind)
		}
		queued.sentAtMS = 1 + (l.node.now() - l.conn.helloSent).Milliseconds()
	}
	sendDeadline, cancelTimer := queued.sendDeadline(ctx)
	defer cancelTimer()
	if l.node.exceedsFrameLimit(queued) {
		body.release()
		return nil, fault.New(fault.Unsent, "%s: frame over the bound", kind)
	}
	if queued.lane == LaneBulk && body.size() <= initialWindow {
		// The call itself is small: only its response travels as bulk.
		queued.lane, queued.responseLane = LaneBulk-1, LaneBulk
	}
	call := l.node.newPendingCall()
	call.written, call.queued, queued.call = false, queued, call
	id := queued.id
	l.mu.Lock()
	l.pending[id] = call
	l.silence.callSent(l.node.now(), time.Duration(l.conn.lastRead.Load()))
	l.mu.Unlock()
	l.node.ensureWatching()
	if !l.enqueue(queued, false) {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.pending, id)
		if l.ended || l.peerLeaving {
			return nil, fault.New(fault.Unsent, "link to %s is ending", l.peer.Node)
		}
		return nil, l.fullError()
	}
	reason := "broke during"
wait:
	for {
		select {
		case response := <-call.response:
			l.node.callPool.Put(call)
			return response.result(kind)
		case <-l.closed:
			break wait
		case <-ctx.Done():
			reason = "gave no receipt in time of"
			break wait
		case <-sendDeadline:
			// A call that was written in full by now may take until its own deadline; one
			// that was not is withdrawn.
			if fullErr := l.withdrawOverdue(id, call); fullErr != nil {
				return nil, fullErr
			}
			sendDeadline = nil
		}
	}
	l.mu.Lock()
	_, waiting := l.pending[id]
	delete(l.pending, id)
	unsent := waiting && l.withdraw(call)
	l.mu.Unlock()
	if waiting && !unsent {
		l.sendCancel(ctx, kind, id)
	}
	if !waiting {
		// The response arrived at this very moment.
		return (<-call.response).result(kind)
	}
	if unsent && contextLane(ctx) == LaneBulk && ctx.Err() != nil {
		// The peer is not at fault: the call was queued for too long.
		l.mu.Lock()
		defer l.mu.Unlock()
		return nil, l.fullError()
	}
	if unsent {
		return nil, fault.New(fault.Unsent, "link to %s %s %s, which was not written", l.peer.Node, reason, kind)
	}
	return nil, fault.New(fault.Unknown, "link to %s %s %s", l.peer.Node, reason, kind)
}

// result returns a response, or the error that it reports.
func (f *frame) result(kind string) (*frame, error) {
	if f.errorCode == "" {
		return f, nil
	}
	defer f.release()
	switch f.errorCode {
	case "unsent":
		return nil, fault.New(fault.Unsent, "%s: %s", kind, f.errorText)
	case "refused", "unspoken", "full":
		return nil, fault.New(fault.Refused, "%s: %s", kind, f.errorText)
	case "stale":
		return nil, fault.New(fault.Stale, "%s: %s", kind, f.errorText)
	}
	return nil, fault.New(fault.Unknown, "%s: %s", kind, f.errorText)
}
