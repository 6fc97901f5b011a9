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

// Start opens the ports and the session.
func (x *Proxy) Start() error {
	transport.Handle(x.n, "job.hand", x.onHand)
	transport.PropagateCancellation(x.n, "job.hand")
	transport.Handle(x.n, protocol.RunEndNoticeKind, x.onRunEnds)
	x.touch.RegisterHandlers()
	transport.Handle(x.n, "node.status", x.onStatus)
	transport.Handle(x.n, "node.drain", x.onDrain)
	if err := x.n.Listen(x.Settings.InternalAddr); err != nil {
		return err
	}
	if err := httpapi.Serve(x.g, x.e, x.Settings.APIAddr, httpapi.TranslateCalls(x.e.Dialect, x.outerRoutes()), x.Settings.ConfigBound); err != nil {
		return err
	}
	if x.Settings.ReadyAddr != "" {
		m := chi.NewRouter()
		m.Get("/puffin/ready", x.onReady)
		if err := httpapi.Serve(x.g, x.e, x.Settings.ReadyAddr, m, x.Settings.ConfigBound); err != nil {
			return err
		}
	}
	srv, err := httpapi.ServeCallers(x.g, x.e, x.Settings.TrafficAddr, http.HandlerFunc(x.front), x.Settings.ConfigBound, x.Settings.MaxFrameBytes/16, &x.stay)
	if err != nil {
		return err
	}
	x.door = srv
	x.e.Log.Emit(event.Started, "program", "proxy", "traffic", x.Settings.TrafficAddr)
	x.g.Go("pulse", func(ctx context.Context) { x.pulse.Run(ctx, x.e.Sleep) })
	x.g.Go("session", x.touch.Run)
	x.g.Every("worker-watch", x.Settings.WorkerHeartbeat(), x.watch)
	x.g.Every("forget", x.Settings.RecoveryBound, x.forget)
	return nil
}

// bound sets the bound on repeats.
func (x *Proxy) bound(r *rules.Rules) { x.again.SetLimits(x.repeats(r)) }

// repeats is the bound on repeats: the platform's, where it tells one, since it
// is the platform that holds the mesh to it; else the document's. An allowance
// beside a share of none is one.
func (x *Proxy) repeats(r *rules.Rules) (float64, int64) {
	if p := x.set(); p.RetryRatio > 0 || p.RetryAllowance > 0 {
		return p.RetryRatio, int64(p.RetryAllowance)
	}
	return r.RetryRatio, r.RetryAllowance
}

// limits steers callers' connections by the document. One that idles is told
// for how long it may, less a part of a change, so that no caller sends into a
// connection that is about to go.
func (x *Proxy) limits(r *rules.Rules) {
	head, idle := x.Settings.ConfigBound, 30*x.Settings.ConfigBound
	told := ""
	if r != nil && r.HeaderTimeout > 0 {
		head = r.HeaderTimeout
	}
	if r != nil && r.IdleTimeout > 0 {
		idle = r.IdleTimeout
		if s := int64((idle - x.Settings.ConfigBound/4) / time.Second); s > 0 {
			told = "timeout=" + strconv.FormatInt(s, 10)
		}
	}
	x.stay.Set(head, idle)
	x.told.Store(&told)
}

// over tells whether a caller's header has more bytes than the document lets
// it have, counted as they were sent.
func over(r *rules.Rules, q *http.Request) bool {
	n := len(q.Method) + len(q.RequestURI) + len(q.Proto) + len("  \r\nHost: \r\n\r\n") + len(q.Host)
	for k, l := range q.Header {
		for _, v := range l {
			n += len(k) + len(v) + len(": \r\n")
		}
	}
	return r.MaxHeaderBytes > 0 && n > r.MaxHeaderBytes
}

// most bounds a caller's body in bytes: by the document where it tells a bound,
// but never by more than half a frame, in which the body has to travel.
func (x *Proxy) most() int64 {
	if r := x.rules.Load(); r != nil && r.MaxBodyBytes > 0 {
		return int64(min(r.MaxBodyBytes, x.Settings.MaxFrameBytes/2))
	}
	return int64(x.set().MaxBodyBytes)
}

// wide bounds a worker's answer in bytes. Documents tell what callers may send;
// an answer may be as large as that, and as the prop says in any case.
func (x *Proxy) wide() int64 { return max(x.most(), int64(x.set().MaxBodyBytes)) }

// take puts a configuration in force if it is newer; it never steps back.
func (x *Proxy) take(version uint64, doc []byte) bool {
	for {
		old := x.rules.Load()
		if old != nil && old.Version >= version {
			return true
		}
		r, bad, err := rules.Recompile(old, version, doc)
		if err != nil || len(bad) > 0 {
			x.e.Log.Emit(event.ConfigRefused, "version", version, "faults", len(bad))
			return false
		}
		if x.rules.CompareAndSwap(old, r) {
			x.bound(r)
			x.shape(r)
			x.limits(x.rules.Load())
			x.e.Log.Emit(event.ConfigApplied, "version", version)
			return true
		}
	}
}

// begins lets a job that came to a node right after its start wait until that is
// ready, for one inner call and a part of its time at the most: whatever took the
// start before has cost the job a try already, and all is well again soon.
func (x *Proxy) begins(ctx context.Context, most time.Duration) bool {
	if !x.life.Is("starting") {
		return false
	}
	t := time.NewTimer(min(most, x.Settings.CallTimeout()))
	defer t.Stop()
	select {
	case <-x.well:
	case <-t.C:
	case <-ctx.Done():
	}
	return x.AcceptsRequests()
}

// half is half of the time that a caller says it has left.
func (x *Proxy) half(r *http.Request) time.Duration {
	if ms, err := strconv.ParseInt(r.Header.Get(x.say.Timeout), 10, 64); err == nil && ms > 0 && ms < 3600_000 {
		return time.Duration(ms) * time.Millisecond / 2
	}
	return x.Settings.CallTimeout()
}

// opens is when a caller may come back to a node that takes no jobs: soon where
// it has only started.
func (x *Proxy) opens() time.Duration {
	if x.life.Is("starting") {
		return x.Settings.HeartbeatInterval()
	}
	return x.Settings.LeaveBound
}
