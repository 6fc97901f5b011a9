package proxy

import (
	"context"
	"time"

	"puffincrank/internal/controlclient"
	"puffincrank/internal/event"
	"puffincrank/internal/membership"
	"puffincrank/internal/ormap"
	"puffincrank/internal/protocol"
)

// host is the proxy as its session sees it.
type host struct{ x *Proxy }

func newTouch(x *Proxy) *controlclient.Client {
	return controlclient.New(controlclient.Dependencies{Settings: x.Settings, Log: x.e.Log, Group: x.g, Node: x.n, Replica: x.rep, Self: x.self, LastPauseEnd: x.pulse.LastPauseEnd}, host{x})
}

func (h host) Version() uint64 {
	if r := h.x.rules.Load(); r != nil {
		return r.Version
	}
	return 0
}

func (h host) ApplyConfig(version uint64, doc []byte) ([]byte, bool) {
	return doc, h.x.take(version, doc)
}

func (h host) FillHeartbeat(b *protocol.Heartbeat) {
	b.TrialCounts, b.ActiveRoutes = h.x.tallies(), h.x.lively()
}

func (h host) MembersChanged(all *membership.List) {
	own := h.x.Settings.Node
	h.x.pick.SetSessionCheck(func(node string) bool { return node == own || all.Has(node) })
}

// ProxyCountChanged tells all that is shared among the nodes how many they are.
func (h host) ProxyCountChanged(n int) {
	h.x.again.SetProxyCount(n)
	h.x.fitnessNews.Nodes(n)
}

// ReplicaRefilled takes up the worker that an earlier start of this node had registered,
// and buries what that start left in the registry.
func (h host) ReplicaRefilled() {
	h.x.adopt()
	h.x.buryOld()
}

// buryOld buries what earlier starts of this node left in the registry.
func (x *Proxy) buryOld() {
	x.rep.RetireNode(x.Settings.Node, func(e ormap.Entry) bool { return e.Dot.Node != x.rep.DotNode() })
}

func (h host) SessionRenewed() {
	if r := h.x.rules.Load(); r != nil && h.x.life.Fire("filled") {
		close(h.x.well)
		h.x.e.Log.Emit(event.Ready, "version", r.Version)
	}
	h.x.afresh()
}

// confirm waits until the node may act on what it holds, and tells how sure it
// is of that.
func (x *Proxy) confirm(ctx context.Context, end time.Time) protocol.Confidence {
	return x.touch.Confirm(ctx, end)
}
