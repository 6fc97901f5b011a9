package proxy

import (
	"context"

	"puffincrank/internal/protocol"
	"puffincrank/internal/rules"
)

// confirmConfig tells whether the request may run by the configuration held here. The bound on
// how long older versions are used counts from when a request was sent: if the ingress was
// confirmed after it had read the request, the request may run by that version at any time.
// Otherwise the owner has to be confirmed. If both are disconnected from the control plane,
// both act by what they have.
func (x *Proxy) confirmConfig(ctx context.Context, attempt *ownerAttempt) bool {
	if attempt.req.Confidence == protocol.Confirmed {
		return true
	}
	if confidence := x.confirm(ctx, attempt.deadline); confidence == protocol.Confirmed || confidence == protocol.Disconnected && attempt.req.Confidence != protocol.Unconfirmed {
		return true
	}
	return attempt.refuse("owner can't confirm its configuration")
}

// checkRules admits a request only if the newest configuration here still routes requests of
// its kind to this service. An ingress that was confirmed in an older version when it had read
// the request may use that version. One that was not confirmed first takes the newer version
// from here, since its own may have been replaced long ago.
func (x *Proxy) checkRules(_ context.Context, attempt *ownerAttempt) bool {
	newest := x.rules.Load()
	if newest == nil {
		return attempt.refuse("owner has no configuration")
	}
	if newest.Version == attempt.req.ConfigVersion {
		return attempt.checkSameRoute(newest)
	}
	attempt.localVersion = newest.Version
	if newest.Version < attempt.req.ConfigVersion {
		x.control.HeartbeatNow()
		return attempt.refuseMismatch("owner's configuration is older than the job's")
	}
	if attempt.req.Confidence == protocol.Disconnected || attempt.req.Confidence == protocol.Unconfirmed {
		return attempt.refuseMismatch("a newer configuration is known than the job's front was sure of")
	}
	route := attempt.match(newest)
	if route == nil || (!route.Base.RoutesTo(attempt.req.Service) && (route.Trial == 0 || !route.New.RoutesTo(attempt.req.Service))) {
		return attempt.refuseMismatch("a newer configuration doesn't send this job here")
	}
	if _, ok := newest.Shares[attempt.req.Class]; !ok {
		return attempt.refuseMismatch("a newer configuration has no such class")
	}
	if attempt.req.Repeatable && !route.Arm(attempt.req.RequestID).Repeatable {
		return attempt.refuseMismatch("a newer configuration doesn't let this job run twice")
	}
	return true
}

// match returns the route of the request by the rules of this node, or nil.
func (a *ownerAttempt) match(r *rules.Rules) *rules.Route {
	return r.Match(a.req.Host, a.req.Method, rules.PathOf(a.req.URI))
}

// checkSameRoute refuses a request that its ingress routes differently by the same configuration,
// as one of an earlier release may: it might repeat a request that may run only once.
func (a *ownerAttempt) checkSameRoute(r *rules.Rules) bool {
	if a.checkedVersion == r.Version {
		return true
	}
	if route := a.match(r); route == nil || route.Name != a.req.Route {
		return a.refuse("the job's front matches it to another path")
	}
	a.checkedVersion = r.Version
	return true
}
