package settings

import "reflect"

// names are the props under the names of their settings.
func (p Props) names() map[string]any {
	return map[string]any{"node": p.Node, "mesh": p.Mesh, "area": p.Area, "inner": p.Inner, "outer": p.Outer, "traffic": p.Traffic,
		"seeds": p.Seeds, "stores": p.Stores, "data": p.Data, "change_ms": p.Change, "leave_ms": p.Leave, "window_ms": p.Window,
		"return_ms": p.Return, "history_ms": p.History, "retire_ms": p.Retire, "replace_ms": p.Replace, "grace_ms": p.Grace,
		"catch_up_ms": p.CatchUp, "touch_ms": p.Touch, "ack_ms": p.Ack, "back_ms": p.Back, "free_ms": p.Free, "silence_ms": p.Silence,
		"beat_ms": p.Told, "body_bytes": p.Body, "frame_bytes": p.Frame, "jobs": p.Jobs, "founding": p.Founding, "bear": p.Bear,
		"bear_areas": p.BearAreas, "bear_regions": p.BearRegions, "region": p.Region,
		"memory_bytes": p.Memory, "files": p.Files, "disk_bytes": p.Disk, "state_bytes": p.State, "service": p.Service, "worker_addr": p.Worker, "ready": p.Ready,
		"repeat_share": p.RepeatShare, "repeat_allowance": p.RepeatAllowance}
}

// Changed names the settings of a program that differ between two readings, in
// the order of its table. One that follows from another is named with it.
func Changed(program string, was, now Props) []string {
	a, b := was.names(), now.names()
	var out []string
	for _, s := range Tables[program].Rows {
		if !reflect.DeepEqual(a[s.Name], b[s.Name]) {
			out = append(out, s.Name)
		}
	}
	return out
}
