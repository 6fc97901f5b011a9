package proxy

import "puffincrank/internal/settings"

// currentSettings gives the settings that may change while this process runs, as they were
// last read. Bounds aren't among them: beats, leases and what others were told
// follow from those, and P holds them for life.
func (x *Proxy) currentSettings() *settings.Settings {
	if reloaded := x.reloadedSettings.Load(); reloaded != nil {
		return reloaded
	}
	return &x.Settings
}

// Reload takes up changed settings and names those that it takes: the control
// nodes to turn to when none of those known answers, the worker beside this
// node, the bound on repeats and those on what is under way. Nothing that is
// under way is touched.
func (x *Proxy) Reload(conf settings.Settings) []string {
	x.reloadedSettings.Store(&conf)
	x.control.SetSeeds(conf.Seeds)
	x.byteLimiter.setLimit(&conf)
	x.connLimits.SetMaxConns(maxCallerConns(&conf))
	if r := x.rules.Load(); r != nil {
		x.setRetryLimits(r)
	}
	return []string{"seeds", "service", "worker_addr", "repeat_share", "repeat_allowance", "body_bytes", "jobs", "files"}
}

// maxCallerConns is how many connections of callers there may be: three quarters of
// what this process may open. The rest is for fellows, the worker and files.
func maxCallerConns(conf *settings.Settings) int { return conf.FileLimit * 3 / 4 }
