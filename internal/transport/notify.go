package transport

import (
	"context"

	"puffincrank/internal/fault"
)

// callOrigin is where the call that is being handled came from: a link, or a node on the
// in-process network.
type callOrigin struct {
	link    *link
	network *LocalNetwork
	caller  *Node // set if the call came over the in-process network
	handler *Node
}

type callOriginKey struct{}

// Notify sends a one-way message to the caller of the call that is being handled, ahead of
// the response. It uses the link of the call, so that no other is needed. A caller that
// does not know the kind ignores it. A failure to send is returned, but nothing retries
// the message.
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
