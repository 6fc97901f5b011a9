package proxy

import "puffincrank/internal/settings"

// set gives the settings that may change while this process runs, as they were
// last read. Bounds aren't among them: beats, leases and what others were told
// follow from those, and P holds them for life.
func (x *Proxy) set() *settings.Settings {
	if p := x.reset.Load(); p != nil {
		return p
	}
	return &x.Settings
}

// Reload takes up changed settings and names those that it takes: the control
// nodes to turn to when none of those known answers, the worker beside this
// node, the bound on repeats and those on what is under way. Nothing that is
// under way is touched.
func (x *Proxy) Reload(p settings.Settings) []string {
	x.reset.Store(&p)
	x.touch.SetSeeds(p.Seeds)
	x.load.bound(&p)
	x.stay.SetMaxConns(callers(&p))
	if r := x.rules.Load(); r != nil {
		x.bound(r)
	}
	return []string{"seeds", "service", "worker_addr", "repeat_share", "repeat_allowance", "body_bytes", "jobs", "files"}
}

// callers is how many connections of callers there may be: three quarters of
// what this process may open. The rest is for fellows, the worker and files.
func callers(p *settings.Settings) int { return p.FileLimit * 3 / 4 }
