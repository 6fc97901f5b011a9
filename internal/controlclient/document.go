package controlclient

import (
	"context"

	"puffincrank/internal/fault"
	"puffincrank/internal/patch"
	"puffincrank/internal/protocol"
	"puffincrank/internal/transport"
)

// stepsKept is how many steps a node keeps for fellows that lag.
const stepsKept = 16

// ApplyConfig puts a newer configuration in force, that came whole or as steps from
// the one held; false means that it can't.
func (t *Client) ApplyConfig(version uint64, doc []byte, steps []patch.Step) bool {
	if t.host.Version() >= version {
		return true
	}
	if doc == nil {
		built, ok := t.document.Build(steps)
		if !ok || len(steps) == 0 || steps[len(steps)-1].To != version {
			return t.host.Version() >= version
		}
		doc = built
	}
	kept, ok := t.host.ApplyConfig(version, doc)
	if ok {
		t.document.Set(version, kept, steps)
	}
	return ok
}

// Document gives the document held here, with the newest steps to it.
func (t *Client) Document() *patch.Document { return t.document }

// RegisterHandlers takes pushes of the configuration, and fellows' questions.
func (t *Client) RegisterHandlers() {
	push := func(_ context.Context, _ transport.Hello, request protocol.ConfigPush) (protocol.ConfigPushResponse, error) {
		t.ApplyConfig(request.Version, request.Document, request.Steps)
		return protocol.ConfigPushResponse{Version: t.host.Version()}, nil
	}
	// Steps have a kind of their own, which earlier versions refuse by name.
	transport.Handle(t.deps.Node, "config.push", push)
	transport.Handle(t.deps.Node, "config.step", push)
	transport.Handle(t.deps.Node, "config.give", t.serveConfig)
	transport.Handle(t.deps.Node, "session.members", t.serveMembers)
}

// serveConfig hands a fellow the configuration held here, if it is newer than its own.
func (t *Client) serveConfig(_ context.Context, _ transport.Hello, request protocol.ConfigPush) (protocol.ConfigPush, error) {
	version, doc := t.document.Current()
	if version <= request.Version {
		return protocol.ConfigPush{}, nil
	}
	if steps, ok := t.document.Since(request.Version); ok && request.AcceptsPatch {
		return protocol.ConfigPush{Version: version, Steps: steps}, nil
	}
	return protocol.ConfigPush{Version: version, Document: doc}, nil
}

// FetchFrom takes the configuration that a fellow holds, if it is newer.
func (t *Client) FetchFrom(ctx context.Context, addr string) bool {
	for _, acceptsPatch := range []bool{true, false} {
		heldVersion := t.host.Version()
		push, err := transport.Call[protocol.ConfigPush](ctx, t.deps.Node, addr, "config.give", protocol.ConfigPush{Version: heldVersion, AcceptsPatch: acceptsPatch})
		if err != nil || push.Version <= heldVersion {
			return false
		}
		if t.ApplyConfig(push.Version, push.Document, push.Steps) {
			return true
		}
	}
	return false
}

// PushConfig gives a fellow that likely holds a version what is held: steps if there
// are some from there, the whole otherwise. It gives back what the fellow holds
// then, 0 when it didn't say.
func PushConfig(ctx context.Context, node *transport.Node, addr string, document *patch.Document, peerVersion uint64) (uint64, error) {
	version, doc := document.Current()
	for range 2 {
		steps, ok := document.Since(peerVersion)
		if !ok {
			break
		}
		response, err := transport.Call[protocol.ConfigPushResponse](ctx, node, addr, "config.step", protocol.ConfigPush{Version: version, Steps: steps})
		if err != nil && !fault.Is(err, fault.Refused) {
			return 0, err
		}
		if err == nil && response.Version >= version {
			return response.Version, nil
		}
		// It holds another one than was thought, or knows no steps.
		if err != nil || response.Version == peerVersion {
			break
		}
		peerVersion = response.Version
	}
	response, err := transport.Call[protocol.ConfigPushResponse](ctx, node, addr, "config.push", protocol.ConfigPush{Version: version, Document: doc})
	return response.Version, err
}
