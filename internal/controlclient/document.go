package controlclient

import (
	"context"

	"puffincrank/internal/fault"
	"puffincrank/internal/patch"
	"puffincrank/internal/protocol"
	"puffincrank/internal/transport"
)

// spare is how many steps a node keeps for fellows that lag.
const spare = 16

// ApplyConfig puts a newer configuration in force, that came whole or as steps from
// the one held; false means that it can't.
func (t *Client) ApplyConfig(version uint64, doc []byte, steps []patch.Patch) bool {
	if t.host.Version() >= version {
		return true
	}
	if doc == nil {
		made, ok := t.held.Build(steps)
		if !ok || len(steps) == 0 || steps[len(steps)-1].To != version {
			return t.host.Version() >= version
		}
		doc = made
	}
	kept, ok := t.host.ApplyConfig(version, doc)
	if ok {
		t.held.Set(version, kept, steps)
	}
	return ok
}

// Document gives the document held here, with the newest steps to it.
func (t *Client) Document() *patch.Document { return t.held }

// RegisterHandlers takes pushes of the configuration, and fellows' questions.
func (t *Client) RegisterHandlers() {
	push := func(_ context.Context, _ transport.Hello, in protocol.ConfigPush) (protocol.ConfigPushResponse, error) {
		t.ApplyConfig(in.Version, in.Document, in.Patches)
		return protocol.ConfigPushResponse{Version: t.host.Version()}, nil
	}
	// Steps have a kind of their own, which earlier versions refuse by name.
	transport.Handle(t.x.Node, "config.push", push)
	transport.Handle(t.x.Node, "config.step", push)
	transport.Handle(t.x.Node, "config.give", t.give)
	transport.Handle(t.x.Node, "session.members", t.list)
}

// give hands a fellow the configuration held here, if it is newer than its own.
func (t *Client) give(_ context.Context, _ transport.Hello, in protocol.ConfigPush) (protocol.ConfigPush, error) {
	version, doc := t.held.Current()
	if version <= in.Version {
		return protocol.ConfigPush{}, nil
	}
	if steps, ok := t.held.Since(in.Version); ok && in.AcceptsPatch {
		return protocol.ConfigPush{Version: version, Patches: steps}, nil
	}
	return protocol.ConfigPush{Version: version, Document: doc}, nil
}

// FetchFrom takes the configuration that a fellow holds, if it is newer.
func (t *Client) FetchFrom(ctx context.Context, at string) bool {
	for _, steps := range []bool{true, false} {
		had := t.host.Version()
		got, err := transport.Call[protocol.ConfigPush](ctx, t.x.Node, at, "config.give", protocol.ConfigPush{Version: had, AcceptsPatch: steps})
		if err != nil || got.Version <= had {
			return false
		}
		if t.ApplyConfig(got.Version, got.Document, got.Patches) {
			return true
		}
	}
	return false
}

// PushConfig gives a fellow that likely holds a version what is held: steps if there
// are some from there, the whole otherwise. It gives back what the fellow holds
// then, 0 when it didn't say.
func PushConfig(ctx context.Context, n *transport.Node, to string, held *patch.Document, have uint64) (uint64, error) {
	version, doc := held.Current()
	for range 2 {
		steps, ok := held.Since(have)
		if !ok {
			break
		}
		got, err := transport.Call[protocol.ConfigPushResponse](ctx, n, to, "config.step", protocol.ConfigPush{Version: version, Patches: steps})
		if err != nil && !fault.Is(err, fault.Refused) {
			return 0, err
		}
		if err == nil && got.Version >= version {
			return got.Version, nil
		}
		// It holds another one than was thought, or knows no steps.
		if err != nil || got.Version == have {
			break
		}
		have = got.Version
	}
	got, err := transport.Call[protocol.ConfigPushResponse](ctx, n, to, "config.push", protocol.ConfigPush{Version: version, Document: doc})
	return got.Version, err
}
