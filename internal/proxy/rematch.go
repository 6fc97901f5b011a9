package proxy

import (
	"context"

	"puffincrank/internal/controlclient"
	"puffincrank/internal/task"
)

// rematch brings front and owner to one configuration after an owner refused a
// job for its rules: a change that passes by must not cost a caller an error,
// nor must a node that only its control nodes can't reach. What a node holds is
// agreed, so whoever holds the newer one may give it to the other.
func (x *Proxy) rematch(ctx context.Context, j *job) {
	if j.back.ConfigVersion < j.rules.Version {
		if x.teach(ctx, j) {
			delete(j.tried, j.entry.Worker)
		}
		return
	}
	for range 4 {
		if r := x.rules.Load(); r.Version != j.rules.Version {
			if p := r.Match(j.req.Host, j.req.Method, j.req.URL.EscapedPath()); p != nil {
				j.rules, j.path, j.arm = r, p, p.Arm(j.id)
				j.service = j.arm.ServiceFor(j.id)
				j.tried = map[string]bool{}
			}
			return
		}
		if x.learn(ctx, j.entry.InternalAddr) {
			continue
		}
		x.touch.HeartbeatNow()
		task.Sleep(ctx, x.Settings.HeartbeatInterval()/8)
	}
	// It has had the time to catch up.
	delete(j.tried, j.entry.Worker)
}

// teach gives an owner that is behind the configuration held here; most likely
// it lacks the newest step.
func (x *Proxy) teach(ctx context.Context, j *job) bool {
	ctx, end := context.WithTimeout(ctx, x.Settings.CallTimeout())
	defer end()
	_, err := controlclient.PushConfig(ctx, x.n, j.entry.InternalAddr, x.touch.Document(), j.rules.Version-1)
	return err == nil
}

// learn takes the configuration that an owner holds, if it is newer.
func (x *Proxy) learn(ctx context.Context, at string) bool {
	ctx, end := context.WithTimeout(ctx, x.Settings.CallTimeout())
	defer end()
	return x.touch.FetchFrom(ctx, at)
}
