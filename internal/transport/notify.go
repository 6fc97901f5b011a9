package transport

import (
	"context"

	"puffincrank/internal/fault"
)

// callOrigin is where the call comes from that is being handled: a link, or on a road the
// node itself.
type callOrigin struct {
	link    *link
	network *LocalNetwork
	caller  *Node // of a call over the road
	handler *Node
}

type callOriginKey struct{}

// Notify casts a message to whoever asked for the call that is being handled, ahead of
// its receipt. It goes over the link that the call came by, so that no other is needed.
// Who does not know its kind passes over it. A loss is told, but nothing makes up for it.
func Notify(ctx context.Context, kind string, message any) error {
	origin, ok := ctx.Value(callOriginKey{}).(*callOrigin)
	if !ok {
		return fault.New(fault.Unsent, "%s: no call is being handled", kind)
	}
	body, err := encode(message)
	if err != nil {
		return err
	}
	if origin.link == nil {
		_, err = origin.network.send(origin.handler.tasks.Context(), origin.handler, origin.caller.addr, kind, body, 0)
		return err
	}
	queued := &queuedFrame{head: head{kind: kind}, body: body}
	if origin.link.node.exceedsFrameLimit(queued) || !origin.link.enqueue(queued, false) {
		return fault.New(fault.Unsent, "link to %s takes no more", origin.link.peer.Node)
	}
	return nil
}
