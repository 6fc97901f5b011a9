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

// Take puts a newer configuration in force, that came whole or as steps from
// the one held; false means that it can't.
func (t *Touch) Take(version uint64, doc []byte, steps []patch.Step) bool {
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
	kept, ok := t.host.Take(version, doc)
	if ok {
		t.held.Set(version, kept, steps)
	}
	return ok
}

// Held gives the document held here, with the newest steps to it.
func (t *Touch) Held() *patch.Held { return t.held }

// Listen takes pushes of the configuration, and fellows' questions.
func (t *Touch) Listen() {
	push := func(_ context.Context, _ transport.Hello, in protocol.Push) (protocol.PushBack, error) {
		t.Take(in.Version, in.Doc, in.Steps)
		return protocol.PushBack{Have: t.host.Version()}, nil
	}
	// Steps have a kind of their own, which earlier versions refuse by name.
	transport.On(t.x.N, "config.push", push)
	transport.On(t.x.N, "config.step", push)
	transport.On(t.x.N, "config.give", t.give)
	transport.On(t.x.N, "session.members", t.list)
}

// give hands a fellow the configuration held here, if it is newer than its own.
func (t *Touch) give(_ context.Context, _ transport.Hello, in protocol.Push) (protocol.Push, error) {
	version, doc := t.held.Now()
	if version <= in.Version {
		return protocol.Push{}, nil
	}
	if steps, ok := t.held.Since(in.Version); ok && in.Patch {
		return protocol.Push{Version: version, Steps: steps}, nil
	}
	return protocol.Push{Version: version, Doc: doc}, nil
}

// Learn takes the configuration that a fellow holds, if it is newer.
func (t *Touch) Learn(ctx context.Context, at string) bool {
	for _, steps := range []bool{true, false} {
		had := t.host.Version()
		got, err := transport.Ask[protocol.Push](ctx, t.x.N, at, "config.give", protocol.Push{Version: had, Patch: steps})
		if err != nil || got.Version <= had {
			return false
		}
		if t.Take(got.Version, got.Doc, got.Steps) {
			return true
		}
	}
	return false
}

// Push gives a fellow that likely holds a version what is held: steps if there
// are some from there, the whole otherwise. It gives back what the fellow holds
// then, 0 when it didn't say.
func Push(ctx context.Context, n *transport.Node, to string, held *patch.Held, have uint64) (uint64, error) {
	version, doc := held.Now()
	for range 2 {
		steps, ok := held.Since(have)
		if !ok {
			break
		}
		got, err := transport.Ask[protocol.PushBack](ctx, n, to, "config.step", protocol.Push{Version: version, Steps: steps})
		if err != nil && !fault.Is(err, fault.Refused) {
			return 0, err
		}
		if err == nil && got.Have >= version {
			return got.Have, nil
		}
		// It holds another one than was thought, or knows no steps.
		if err != nil || got.Have == have {
			break
		}
		have = got.Have
	}
	got, err := transport.Ask[protocol.PushBack](ctx, n, to, "config.push", protocol.Push{Version: version, Doc: doc})
	return got.Have, err
}
