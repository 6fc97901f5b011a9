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

// controlHost gives the control client access to the proxy.
type controlHost struct{ x *Proxy }

func newControlClient(x *Proxy) *controlclient.Client {
	return controlclient.New(controlclient.Dependencies{Settings: x.Settings, Log: x.env.Log, Group: x.group, Node: x.node, Replica: x.replica, Self: x.self, LastPauseEnd: x.pauseDetector.LastPauseEnd}, controlHost{x})
}

func (h controlHost) Version() uint64 {
	if r := h.x.rules.Load(); r != nil {
		return r.Version
	}
	return 0
}

func (h controlHost) ApplyConfig(version uint64, doc []byte) ([]byte, bool) {
	return doc, h.x.applyConfig(version, doc)
}

func (h controlHost) FillHeartbeat(b *protocol.Heartbeat) {
	b.TrialCounts, b.ActiveRoutes = h.x.trialCounts(), h.x.activeRoutes()
}

func (h controlHost) MembersChanged(all *membership.List) {
	own := h.x.Settings.Node
	h.x.balancer.SetSessionCheck(func(node string) bool { return node == own || all.Has(node) })
}

// ProxyCountChanged updates everything that is shared among the nodes by their number.
func (h controlHost) ProxyCountChanged(n int) {
	h.x.retryBudget.SetProxyCount(n)
	h.x.healthUpdates.SetNodes(n)
}

// ReplicaRefilled takes over the worker that an earlier start of this node had registered, and
// removes that start's entries from the registry.
func (h controlHost) ReplicaRefilled() {
	h.x.adoptEarlierWorker()
	h.x.retireOldEntries()
}

// retireOldEntries replaces registry entries of earlier starts of this node by tombstones.
func (x *Proxy) retireOldEntries() {
	x.replica.RetireNode(x.Settings.Node, func(e ormap.Entry) bool { return e.Dot.Node != x.replica.DotNode() })
}

func (h controlHost) SessionRenewed() {
	if r := h.x.rules.Load(); r != nil && h.x.lifecycle.Fire("filled") {
		close(h.x.readyCh)
		h.x.env.Log.Emit(event.Ready, "version", r.Version)
	}
	h.x.reregister()
}

// confirm waits until the node may act on the configuration it holds, and tells with what
// confidence.
func (x *Proxy) confirm(ctx context.Context, deadline time.Time) protocol.Confidence {
	return x.control.Confirm(ctx, deadline)
}
