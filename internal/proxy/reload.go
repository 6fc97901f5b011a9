package proxy

import "puffincrank/internal/settings"

// currentSettings gives the latest settings, including those reloaded while the process runs.
// Time bounds are not among the reloadable ones, since heartbeats, leases and what other nodes
// were told depend on them; those are read from Proxy.Settings.
func (x *Proxy) currentSettings() *settings.Settings {
	if reloaded := x.reloadedSettings.Load(); reloaded != nil {
		return reloaded
	}
	return &x.Settings
}

// Reload applies changed settings and names those that take effect: the control nodes to turn
// to when no known one answers, the local worker, the limits on retries and those on work in
// progress. Work in progress is not affected.
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

// maxCallerConns bounds callers' connections to three quarters of the process's file
// descriptors. The rest is for peers, the worker and files.
func maxCallerConns(conf *settings.Settings) int { return conf.FileLimit * 3 / 4 }
