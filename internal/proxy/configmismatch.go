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
// agreed on, so whichever node holds the newer one may give it to the other.
func (x *Proxy) resolveMismatch(ctx context.Context, req *request) {
	if req.result.ConfigVersion < req.rules.Version {
		if x.pushConfig(ctx, req) {
			delete(req.tried, req.entry.Worker)
		}
		return
	}
	for range 4 {
		if current := x.rules.Load(); current.Version != req.rules.Version {
			if route := current.Match(req.httpReq.Host, req.httpReq.Method, rules.PathOf(req.target)); route != nil {
				req.rules, req.route, req.arm = current, route, route.Arm(req.id)
				req.service = req.arm.ServiceFor(req.id)
				req.tried = map[string]bool{}
			}
			return
		}
		if x.fetchConfig(ctx, req.entry.InternalAddr) {
			continue
		}
		x.control.HeartbeatNow()
		task.Sleep(ctx, x.Settings.HeartbeatInterval()/8)
	}
	// The owner has had time to catch up.
	delete(req.tried, req.entry.Worker)
}

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
