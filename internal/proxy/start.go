package proxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"puffincrank/internal/event"
	"puffincrank/internal/httpapi"
	"puffincrank/internal/protocol"
	"puffincrank/internal/rules"
	"puffincrank/internal/transport"
)

// Start opens the ports and the session with the control plane.
func (x *Proxy) Start() error {
	transport.Handle(x.node, "job.hand", x.onAttempt)
	transport.PropagateCancellation(x.node, "job.hand")
	transport.Handle(x.node, protocol.RunEndNoticeKind, x.onRunEndNotice)
	x.control.RegisterHandlers()
	transport.Handle(x.node, "node.status", x.onStatus)
	transport.Handle(x.node, "node.drain", x.onDrain)
	if err := x.node.Listen(x.Settings.InternalAddr); err != nil {
		return err
	}
	if err := httpapi.Serve(x.group, x.env, x.Settings.APIAddr, httpapi.TranslateCalls(x.env.Dialect, x.apiRoutes()), x.Settings.ConfigBound); err != nil {
		return err
	}
	if x.Settings.ReadyAddr != "" {
		readyRoutes := chi.NewRouter()
		readyRoutes.Get("/puffin/ready", x.onReady)
		if err := httpapi.Serve(x.group, x.env, x.Settings.ReadyAddr, readyRoutes, x.Settings.ConfigBound); err != nil {
			return err
		}
	}
	server, err := httpapi.ServeCallers(x.group, x.env, x.Settings.TrafficAddr, http.HandlerFunc(x.serveCaller), x.Settings.ConfigBound, x.Settings.MaxFrameBytes/16, &x.connLimits)
	if err != nil {
		return err
	}
	x.trafficServer = server
	x.env.Log.Emit(event.Started, "program", "proxy", "traffic", x.Settings.TrafficAddr)
	x.group.Go("pulse", func(ctx context.Context) { x.pauseDetector.Run(ctx, x.env.Sleep) })
	x.group.Go("session", x.control.Run)
	x.group.Every("worker-watch", x.Settings.WorkerHeartbeat(), x.watchWorkers)
	x.group.Every("forget", x.Settings.RecoveryBound, x.expireState)
	return nil
}

// setRetryLimits applies the limits on retries.
func (x *Proxy) setRetryLimits(r *rules.Rules) { x.retryBudget.SetLimits(x.retryLimits(r)) }

// retryLimits gives the limits on retries: those of the platform if it sets any, since the
// platform enforces them for the whole mesh, else those of the configuration. An allowance with
// a ratio of 0 counts as set.
func (x *Proxy) retryLimits(r *rules.Rules) (float64, int64) {
	if conf := x.currentSettings(); conf.RetryRatio > 0 || conf.RetryAllowance > 0 {
		return conf.RetryRatio, int64(conf.RetryAllowance)
	}
	return r.RetryRatio, r.RetryAllowance
}

// setConnLimits applies the configured timeouts to callers' connections. Callers are told an
// idle timeout that is shorter by a quarter of the configuration bound, so that none sends into
// a connection that is about to close.
func (x *Proxy) setConnLimits(r *rules.Rules) {
	headerTimeout, idleTimeout := x.Settings.ConfigBound, 30*x.Settings.ConfigBound
	keepAlive := ""
	if r != nil && r.HeaderTimeout > 0 {
		headerTimeout = r.HeaderTimeout
	}
	if r != nil && r.IdleTimeout > 0 {
		idleTimeout = r.IdleTimeout
		if s := int64((idleTimeout - x.Settings.ConfigBound/4) / time.Second); s > 0 {
			keepAlive = "timeout=" + strconv.FormatInt(s, 10)
		}
	}
	x.connLimits.Set(headerTimeout, idleTimeout)
	x.keepAliveHeader.Store(&keepAlive)
}

// headerTooLarge tells whether a caller's header exceeds the configured size, counted in bytes
// as sent.
func headerTooLarge(r *rules.Rules, req *http.Request) bool {
	size := len(req.Method) + len(req.RequestURI) + len(req.Proto) + len("  \r\nHost: \r\n\r\n") + len(req.Host)
	for k, l := range req.Header {
		for _, v := range l {
			size += len(k) + len(v) + len(": \r\n")
		}
	}
	return r.MaxHeaderBytes > 0 && size > r.MaxHeaderBytes
}

// maxRequestBody bounds a caller's body in bytes: the configured limit if there is one, but
// never more than half a frame, since the body has to travel in one.
func (x *Proxy) maxRequestBody() int64 {
	if r := x.rules.Load(); r != nil && r.MaxBodyBytes > 0 {
		return int64(min(r.MaxBodyBytes, x.Settings.MaxFrameBytes/2))
	}
	return int64(x.currentSettings().MaxBodyBytes)
}

// maxResponseBody bounds a worker's response in bytes. The configuration limits only what
// callers send; a response may be that large, and always as large as the process settings
// allow.
func (x *Proxy) maxResponseBody() int64 {
	return max(x.maxRequestBody(), int64(x.currentSettings().MaxBodyBytes))
}

// applyConfig puts a configuration in force if it is newer; it never reverts to an older one.
func (x *Proxy) applyConfig(version uint64, doc []byte) bool {
	for {
		current := x.rules.Load()
		if current != nil && current.Version >= version {
			return true
		}
		compiled, problems, err := rules.Recompile(current, version, doc)
		if err != nil || len(problems) > 0 {
			x.env.Log.Emit(event.ConfigRefused, "version", version, "faults", len(problems))
			return false
		}
		if x.rules.CompareAndSwap(current, compiled) {
			x.setRetryLimits(compiled)
			x.configureAdmission(compiled)
			x.setConnLimits(x.rules.Load())
			x.env.Log.Emit(event.ConfigApplied, "version", version)
			return true
		}
	}
}

// waitUntilReady lets a request that came to a node right after its start wait until the node
// is ready, for at most the limit and one internal call timeout. Whatever interrupted the node
// has already cost the request an attempt, and the node is ready again soon.
func (x *Proxy) waitUntilReady(ctx context.Context, limit time.Duration) bool {
	if !x.lifecycle.Is("starting") {
		return false
	}
	t := time.NewTimer(min(limit, x.Settings.CallTimeout()))
	defer t.Stop()
	select {
	case <-x.readyCh:
	case <-t.C:
	case <-ctx.Done():
	}
	return x.AcceptsRequests()
}

// halfTimeout is half of the remaining time that the caller states.
func (x *Proxy) halfTimeout(req *http.Request) time.Duration {
	if ms, err := strconv.ParseInt(req.Header.Get(x.dialect.Timeout), 10, 64); err == nil && ms > 0 && ms < 3600_000 {
		return time.Duration(ms) * time.Millisecond / 2
	}
	return x.Settings.CallTimeout()
}

// notReadyRetryAfter is the retry-after time of a node that accepts no requests; it is short
// for one that is starting.
func (x *Proxy) notReadyRetryAfter() time.Duration {
	if x.lifecycle.Is("starting") {
		return x.Settings.HeartbeatInterval()
	}
	return x.Settings.LeaveBound
}
