package transport

import (
	"context"

	"puffincrank/internal/fault"
)

// asker is where the call comes from that is being handled: a link, or on a road the
// node itself.
type asker struct {
	link *link
	road *LocalNetwork
	from *Node // of a call over the road
	here *Node
}

type askerKey struct{}

// Notify casts a message to whoever asked for the call that is being handled, ahead of
// its receipt. It goes over the link that the call came by, so that no other is needed.
// Who does not know its kind passes over it. A loss is told, but nothing makes up for it.
func Notify(ctx context.Context, kind string, in any) error {
	a, ok := ctx.Value(askerKey{}).(*asker)
	if !ok {
		return fault.New(fault.Unsent, "%s: no call is being handled", kind)
	}
	body, err := pack(in)
	if err != nil {
		return err
	}
	if a.link == nil {
		_, err = a.road.drive(a.here.g.Context(), a.here, a.from.addr, kind, body, 0)
		return err
	}
	i := &item{head: head{kind: kind}, body: body}
	if a.link.n.over(i) || !a.link.post(i, false) {
		return fault.New(fault.Unsent, "link to %s takes no more", a.link.hail.Node)
	}
	return nil
}
