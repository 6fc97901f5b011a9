package settings

import "reflect"

// valuesByName returns the settings by their outer names.
func (p Settings) valuesByName() map[string]any {
	return map[string]any{"node": p.Node, "mesh": p.ClusterID, "area": p.Zone, "inner": p.InternalAddr, "outer": p.APIAddr, "traffic": p.TrafficAddr,
		"seeds": p.Seeds, "stores": p.Stores, "data": p.DataDir, "change_ms": p.ConfigBound, "leave_ms": p.LeaveBound, "window_ms": p.RetryWindow,
		"return_ms": p.RecoveryBound, "history_ms": p.WatchHistory, "retire_ms": p.RetireAfter, "replace_ms": p.ReplaceAfter, "grace_ms": p.GracePeriod,
		"catch_up_ms": p.CatchUpBound, "touch_ms": p.ContactTime, "ack_ms": p.AckBound, "back_ms": p.OldConfigBound, "free_ms": p.LockExpiryBound, "silence_ms": p.ClientTimeout,
		"beat_ms": p.ConfiguredHeartbeat, "body_bytes": p.MaxBodyBytes, "frame_bytes": p.MaxFrameBytes, "jobs": p.MaxRequests, "founding": p.MayFound, "bear": p.ToleratedMachines,
		"bear_areas": p.ToleratedZones, "bear_regions": p.ToleratedRegions, "region": p.Region,
		"memory_bytes": p.MemoryBytes, "files": p.FileLimit, "disk_bytes": p.DiskBytes, "state_bytes": p.ConfiguredStateBytes, "service": p.Service, "worker_addr": p.WorkerAddr, "ready": p.ReadyAddr,
		"repeat_share": p.RetryRatio, "repeat_allowance": p.RetryAllowance}
}

// Changed returns the names of the settings of a program that differ between two readings, in the
// order of its table. A setting that is derived from a changed one is included.
func Changed(program string, before, after Settings) []string {
	oldValues, newValues := before.valuesByName(), after.valuesByName()
	var changed []string
	for _, field := range Tables[program].Fields {
		if !reflect.DeepEqual(oldValues[field.Name], newValues[field.Name]) {
			changed = append(changed, field.Name)
		}
	}
	return changed
}
