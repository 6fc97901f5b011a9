package proxy

import (
	"context"

	"puffincrank/internal/controlclient"
	"puffincrank/internal/rules"
	"puffincrank/internal/task"
)

// resolveMismatch brings ingress and owner to the same configuration after an owner refused a
// request because the versions differ. Neither a change in progress nor a node that only its
// control nodes can't reach may cost a caller an error. Any configuration that a node holds was
// agreed on, so whichever node holds the newer one may give it to the other. It reports whether the
// request may be sent again.
func (x *Proxy) resolveMismatch(ctx context.Context, req *request) bool {
	if req.result.ConfigVersion < req.rules.Version {
		if x.pushConfig(ctx, req) {
			delete(req.tried, req.entry.Worker)
		}
		return true
	}
	for range 4 {
		if current := x.rules.Load(); current.Version != req.rules.Version {
			return req.adoptRules(current)
		}
		if x.fetchConfig(ctx, req.entry.InternalAddr) {
			continue
		}
		x.control.HeartbeatNow()
		task.Sleep(ctx, x.Settings.HeartbeatInterval()/8)
	}
	// The owner has had time to catch up.
	delete(req.tried, req.entry.Worker)
	return true
}

// adoptRules routes the request by a newer configuration. It reports whether the request may be sent
// again: one that may have run must not be if that configuration lets it run only once.
func (r *request) adoptRules(current *rules.Rules) bool {
	route := current.Match(r.httpReq.Host, r.httpReq.Method, rules.PathOf(r.target))
	if route == nil {
		return true
	}
	arm := route.Arm(r.id)
	if r.mayHaveRun() && !arm.Repeatable {
		return false
	}
	r.rules, r.route, r.arm = current, route, arm
	r.service = arm.ServiceFor(r.id)
	r.tried = map[string]bool{}
	return true
}

// mayHaveRun reports whether another attempt of the request has run, may have, or still may.
func (r *request) mayHaveRun() bool { return r.lost != nil || r.fallback != nil || r.isHedge }

// pushConfig sends the configuration held here to an owner with an older one; most likely that
// one lacks only the newest step.
func (x *Proxy) pushConfig(ctx context.Context, req *request) bool {
	ctx, cancel := context.WithTimeout(ctx, x.Settings.CallTimeout())
	defer cancel()
	_, err := controlclient.PushConfig(ctx, x.node, req.entry.InternalAddr, x.control.Document(), req.rules.Version-1)
	return err == nil
}

// fetchConfig takes the configuration that an owner holds, if it is newer.
func (x *Proxy) fetchConfig(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, x.Settings.CallTimeout())
	defer cancel()
	return x.control.FetchFrom(ctx, addr)
}
