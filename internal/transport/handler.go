package transport

import (
	"context"
	"fmt"
	"time"

	"puffincrank/internal/event"
	"puffincrank/internal/fault"
)

// handler handles one kind of calls or one-way messages. It releases the frame as soon as
// the body is decoded.
type handler struct {
	kind       string
	cancelable bool // calls end when their callers stop waiting
	run        func(ctx context.Context, from Hello, f *frame) (*buffer, error)
}

// Handle registers a typed handler. Like http.ServeMux it panics if the kind already has
// one: two handlers for one kind are a programming error.
func Handle[I, O any](node *Node, kind string, handle func(ctx context.Context, from Hello, message I) (O, error)) {
	if node.handlers[kind] != nil {
		panic(fmt.Sprintf("transport: kind %q is registered twice", kind))
	}
	node.handlers[kind] = &handler{kind: kind, run: func(ctx context.Context, from Hello, received *frame) (*buffer, error) {
		var message I
		err := Decode(received.body, &message)
		received.release()
		if err != nil {
			// Nothing was executed, so the call is refused.
			return nil, fault.Wrap(fault.Refused, err, kind)
		}
		result, err := handle(ctx, from, message)
		if err != nil {
			return nil, err
		}
		buf, err := encode(result)
		return buf, fault.Wrap(fault.Unknown, err, kind)
	}}
}

// internKind returns the string of a registered kind without an allocation.
func (n *Node) internKind(kind []byte) string {
	if known := n.handlers[string(kind)]; known != nil {
		return known.kind
	}
	return string(kind)
}

// dispatch runs the handler for one frame on a worker of the pool.
func (n *Node) dispatch(l *link, f *frame) {
	target, head := n.handlers[f.kind], f.head
	if target == nil {
		f.release()
		n.env.Log.Emit(event.UnknownMessage, "kind", head.kind, "fellow", l.peer.Node)
		l.respond(head, head.kind, nil, fault.New(fault.Refused, "kind %q is not spoken here", head.kind), 0)
		return
	}
	n.activeCalls.Add(1)
	deadline := f.deadline
	// The context is registered before the next frame is read from the link, which may
	// cancel the call.
	ctx, done := n.tasks.Context(), func() {}
	if target.cancelable && head.id != 0 {
		ctx, done = l.cancelableContext(head.id)
	}
	ok := n.pool.Do(func(context.Context) {
		defer n.activeCalls.Add(-1)
		defer done()
		ctx := ctx
		if head.timeoutMS > 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithDeadline(ctx, n.started.Add(deadline))
			defer cancel()
		}
		// The deadline passed on the way here, or while this process was paused.
		if ctx.Err() != nil {
			f.release()
			l.respond(head, target.kind, nil, fault.New(fault.Refused, "late"), 0)
			return
		}
		if head.lane > LaneControl {
			ctx = context.WithValue(ctx, inboundCallKey{}, &inboundCall{l, head.lane})
		}
		if target.cancelable {
			ctx = context.WithValue(ctx, callOriginKey{}, &callOrigin{link: l})
		}
		result, err := target.run(ctx, l.peer, f)
		l.respond(head, target.kind, result, err, deadline)
	})
	// A full pool refuses the call with certainty: the handler never ran.
	if !ok {
		f.release()
		done()
		n.activeCalls.Add(-1)
		l.respond(head, target.kind, nil, fault.New(fault.Refused, "full"), 0)
	}
}

// respond sends the response to a call; a one-way message has none.
func (l *link) respond(request head, kind string, body *buffer, err error, deadline time.Duration) {
	if request.id == 0 {
		body.release()
		return
	}
	response := l.node.newResponse(request, kind, body, err)
	response.expires = deadline
	l.enqueue(response, true)
}

// newResponse builds the response to a call, on the lane of the call. A small bulk
// response, which completes a finished request, does not wait behind large ones.
func (n *Node) newResponse(request head, kind string, body *buffer, err error) *queuedFrame {
	response := &queuedFrame{head: head{id: request.id, lane: request.lane}, responseTo: kind, body: body}
	if err == nil && n.exceedsFrameLimit(response) {
		err = fault.New(fault.Unknown, "receipt over the bound")
	}
	if response.lane == LaneBulk && (err != nil || body.size() <= initialWindow) {
		response.lane = LaneBulk - 1
	}
	if err != nil {
		body.release()
		response.body = nil
		response.errorText, response.errorCode = truncate(err.Error()), "unknown"
		switch {
		case fault.Is(err, fault.Refused), fault.Is(err, fault.Unsent), fault.Is(err, fault.Input):
			response.errorCode = "refused"
		case fault.Is(err, fault.Stale):
			response.errorCode = "stale"
		}
	}
	return response
}

// truncate limits an error text to a length that fits in any frame.
func truncate(s string) string { return s[:min(len(s), 4096)] }

// countSent counts a sent frame. The link's lock is held.
func (l *link) countSent(kind string, size int) {
	sent := l.traffic[kind]
	if sent == nil {
		sent = &Traffic{}
		l.traffic[kind] = sent
	}
	sent.Frames++
	sent.Bytes += int64(size)
}

// addTraffic adds the traffic sent on this link to totals. The node's lock is held.
func (l *link) addTraffic(totals map[Flow]Traffic) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for kind, sent := range l.traffic {
		key := Flow{Kind: kind, OtherZone: l.peer.Zone != l.node.Self.Zone}
		sum := totals[key]
		totals[key] = Traffic{sum.Frames + sent.Frames, sum.Bytes + sent.Bytes}
	}
}

// BytesSent returns the traffic sent so far by flow.
func (n *Node) BytesSent() map[Flow]Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	totals := map[Flow]Traffic{}
	for key, sent := range n.closedTraffic {
		totals[key] = sent
	}
	for l := range n.openLinks {
		l.addTraffic(totals)
	}
	return totals
}

// maxTimeout keeps timeouts that a peer sends from overflowing.
const maxTimeout = 1 << 60 * time.Nanosecond
