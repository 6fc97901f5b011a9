package controlclient

import (
	"context"

	"puffincrank/internal/fault"
	"puffincrank/internal/patch"
	"puffincrank/internal/protocol"
	"puffincrank/internal/transport"
)

// stepsKept is how many patches a node keeps for peers that lag behind.
const stepsKept = 16

// ApplyConfig puts a newer configuration in force, received whole or as patches from the
// version held. It returns false if that is not possible.
func (c *Client) ApplyConfig(version uint64, doc []byte, steps []patch.Patch) bool {
	if c.host.Version() >= version {
		return true
	}
	if doc == nil {
		built, ok := c.document.Build(steps)
		if !ok || len(steps) == 0 || steps[len(steps)-1].To != version {
			return c.host.Version() >= version
		}
		doc = built
	}
	kept, ok := c.host.ApplyConfig(version, doc)
	if ok {
		c.document.Set(version, kept, steps)
	}
	return ok
}

// Document returns the document held here, with the newest patches that led to it.
func (c *Client) Document() *patch.Document { return c.document }

// RegisterHandlers registers the handlers for configuration pushes and for peers' requests.
func (c *Client) RegisterHandlers() {
	push := func(_ context.Context, _ transport.Hello, request protocol.ConfigPush) (protocol.ConfigPushResponse, error) {
		c.ApplyConfig(request.Version, request.Document, request.Patches)
		return protocol.ConfigPushResponse{Version: c.host.Version()}, nil
	}
	// Patches have a message kind of their own, which earlier versions refuse as unknown.
	transport.Handle(c.deps.Node, "config.push", push)
	transport.Handle(c.deps.Node, "config.step", push)
	transport.Handle(c.deps.Node, "config.give", c.serveConfig)
	transport.Handle(c.deps.Node, "session.members", c.serveMembers)
}

// serveConfig gives a peer the configuration held here, if it is newer than the peer's.
func (c *Client) serveConfig(_ context.Context, _ transport.Hello, request protocol.ConfigPush) (protocol.ConfigPush, error) {
	version, doc := c.document.Current()
	if version <= request.Version {
		return protocol.ConfigPush{}, nil
	}
	if steps, ok := c.document.Since(request.Version); ok && request.AcceptsPatch {
		return protocol.ConfigPush{Version: version, Patches: steps}, nil
	}
	return protocol.ConfigPush{Version: version, Document: doc}, nil
}

// FetchFrom fetches the configuration that a peer holds, if it is newer.
func (c *Client) FetchFrom(ctx context.Context, addr string) bool {
	for _, acceptsPatch := range []bool{true, false} {
		heldVersion := c.host.Version()
		push, err := transport.Call[protocol.ConfigPush](ctx, c.deps.Node, addr, "config.give", protocol.ConfigPush{Version: heldVersion, AcceptsPatch: acceptsPatch})
		if err != nil || push.Version <= heldVersion {
			return false
		}
		if c.ApplyConfig(push.Version, push.Document, push.Patches) {
			return true
		}
	}
	return false
}

// PushConfig sends the configuration held here to a peer that is believed to hold
// peerVersion: as patches if there are some from that version, or else whole. It returns
// the version that the peer holds afterwards, 0 if the peer didn't say.
func PushConfig(ctx context.Context, node *transport.Node, addr string, document *patch.Document, peerVersion uint64) (uint64, error) {
	version, doc := document.Current()
	for range 2 {
		steps, ok := document.Since(peerVersion)
		if !ok {
			break
		}
		response, err := transport.Call[protocol.ConfigPushResponse](ctx, node, addr, "config.step", protocol.ConfigPush{Version: version, Patches: steps})
		if err != nil && !fault.Is(err, fault.Refused) {
			return 0, err
		}
		if err == nil && response.Version >= version {
			return response.Version, nil
		}
		// The peer doesn't accept patches, or still holds the version that they should
		// start from.
		if err != nil || response.Version == peerVersion {
			break
		}
		peerVersion = response.Version
	}
	response, err := transport.Call[protocol.ConfigPushResponse](ctx, node, addr, "config.push", protocol.ConfigPush{Version: version, Document: doc})
	return response.Version, err
}
