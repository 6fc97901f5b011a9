package settings

import "reflect"

// names are the props under the names of their settings.
func (p Settings) names() map[string]any {
	return map[string]any{"node": p.Node, "mesh": p.ClusterID, "area": p.Zone, "inner": p.InternalAddr, "outer": p.APIAddr, "traffic": p.TrafficAddr,
		"seeds": p.Seeds, "stores": p.Stores, "data": p.DataDir, "change_ms": p.ConfigBound, "leave_ms": p.LeaveBound, "window_ms": p.RetryWindow,
		"return_ms": p.RecoveryBound, "history_ms": p.WatchHistory, "retire_ms": p.RetireAfter, "replace_ms": p.ReplaceAfter, "grace_ms": p.GracePeriod,
		"catch_up_ms": p.CatchUpBound, "touch_ms": p.ContactTime, "ack_ms": p.AckBound, "back_ms": p.OldConfigBound, "free_ms": p.LockExpiryBound, "silence_ms": p.ClientTimeout,
		"beat_ms": p.ConfiguredHeartbeat, "body_bytes": p.MaxBodyBytes, "frame_bytes": p.MaxFrameBytes, "jobs": p.MaxRequests, "founding": p.MayFound, "bear": p.ToleratedMachines,
		"bear_areas": p.ToleratedZones, "bear_regions": p.ToleratedRegions, "region": p.Region,
		"memory_bytes": p.MemoryBytes, "files": p.FileLimit, "disk_bytes": p.DiskBytes, "state_bytes": p.ConfiguredStateBytes, "service": p.Service, "worker_addr": p.WorkerAddr, "ready": p.ReadyAddr,
		"repeat_share": p.RetryRatio, "repeat_allowance": p.RetryAllowance}
}

// Changed names the settings of a program that differ between two readings, in
// the order of its table. One that follows from another is named with it.
func Changed(program string, was, now Settings) []string {
	a, b := was.names(), now.names()
	var out []string
	for _, s := range Tables[program].Fields {
		if !reflect.DeepEqual(a[s.Name], b[s.Name]) {
			out = append(out, s.Name)
		}
	}
	return out
}
