package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"puffincrank/internal/fleetrun/process"
	"puffincrank/internal/standin/actors"
	"puffincrank/internal/standin/checker"
)

// writeSettings writes the settings file of a process: the common bounds and its extra
// settings. The file is replaced atomically.
func (f *fleet) writeSettings(name, zone, host string, inner, outer int, extra map[string]any) error {
	bounds := f.recorder.Bounds
	values := map[string]any{"node": name, "area": zone, "inner": fmt.Sprintf("%s:%d", host, inner), "outer": fmt.Sprintf("%s:%d", host, outer),
		"change_ms": bounds.DocumentChange.Milliseconds(), "leave_ms": bounds.Leave.Milliseconds(), "window_ms": bounds.RetryWindow.Milliseconds(), "return_ms": bounds.Recovery.Milliseconds(),
		"history_ms": bounds.WatchHistory.Milliseconds(), "grace_ms": bounds.Grace.Milliseconds(), "touch_ms": bounds.Connect.Milliseconds(), "ack_ms": bounds.Ack.Milliseconds(),
		"back_ms": bounds.StepBack.Milliseconds(), "free_ms": bounds.LockRelease.Milliseconds(), "catch_up_ms": 4000}
	for k, v := range extra {
		values[k] = v
	}
	content, err := json.MarshalIndent(values, "", "  ")
	if err != nil {
		return err
	}
	file := filepath.Join(f.options.Dir, name+".json")
	if err := os.WriteFile(file+".new", content, 0o644); err != nil {
		return err
	}
	return os.Rename(file+".new", file)
}

// writeProxySettings writes the settings file of a machine's proxy.
func (f *fleet) writeProxySettings(m *machine) error {
	return f.writeSettings(m.name, m.zone, m.host, 7002, 7003, map[string]any{"seeds": f.controlAddrs(7002), "traffic": m.host + ":8000", "service": m.service,
		"worker_addr": m.host + ":9000", "beat_ms": 1500, "files": 1024, "repeat_share": f.recorder.Bounds.RetryShare, "repeat_allowance": int(f.recorder.Bounds.RetryAllowance)})
}

// startProxy starts the proxy of a machine.
func (f *fleet) startProxy(m *machine) {
	f.recorder.Restarted(m.name)
	f.recorder.Faults.Begin(m.name, checker.Planned+"start")()
	err := f.writeProxySettings(m)
	if err == nil {
		err = m.proxy.Start(f.tasks)
	}
	if err != nil {
		f.reportViolation("%s did not start: %v", m.name, err)
	}
}

// lateHeartbeatShare is the part of the workers' heartbeats that arrive again, late.
const lateHeartbeatShare = 0.1

// startWorker starts a new worker beside a proxy.
func (f *fleet) startWorker(m *machine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.workerStarts++
	id := checker.Worker{Name: fmt.Sprintf("w%d-%d", m.number, m.workerStarts), Service: m.service, Machine: m.name, Zone: m.zone}
	behavior := workerBehavior
	behavior.TimeFactor = 0.8 + float64(m.number%5)*0.15
	behavior.LateShare, behavior.LateTasks = lateHeartbeatShare, f.tasks
	var worker *actors.Worker
	err := process.Bind(func() (err error) {
		worker, err = actors.StartWorker(silentEnv(id.Name), actors.PlainDialect, id, m.host+":9000", m.host+":8000", []string{m.host + ":7003"}, behavior, f.recorder, f.options.Seed*1000+uint64(m.number)+500)
		return err
	})
	if err != nil {
		f.reportViolation("worker of %s did not start: %v", m.name, err)
		return
	}
	m.worker = worker
}

// currentWorker returns the worker beside a machine's proxy.
func (m *machine) currentWorker() *actors.Worker {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.worker
}

// startControlMachine starts both programs of a control plane machine. They may found a
// cluster only at the first start of the run.
func (f *fleet) startControlMachine(machine *controlMachine, first bool) {
	err := f.writeSettings(machine.store.Name, machine.zone, machine.host, 7001, 7004, map[string]any{"seeds": f.controlAddrs(7001), "founding": first, "bear": 1, "data": filepath.Join(f.options.Dir, machine.name+".store.data")})
	if err == nil {
		err = f.writeSettings(machine.name, machine.zone, machine.host, 7002, 7003, map[string]any{"seeds": f.controlAddrs(7002), "stores": f.controlAddrs(7001), "data": filepath.Join(f.options.Dir, machine.name+".data")})
	}
	for _, p := range []*process.Process{machine.store, machine.registry} {
		if err == nil {
			err = p.Start(f.tasks)
		}
	}
	if err != nil {
		f.reportViolation("%s did not start: %v", machine.name, err)
	}
	f.recordControlChange(machine, false, "started "+machine.name)
}

// recordControlChange tells the recorder that the control plane was disturbed, and whether a
// machine of it is down from now on. The time without a majority is recorded as well.
func (f *fleet) recordControlChange(machine *controlMachine, down bool, what string) {
	f.recorder.Faults.Unsettle(what)
	f.mu.Lock()
	defer f.mu.Unlock()
	machine.down = down
	running := 0
	for _, machine := range f.controlMachines {
		if !machine.down {
			running++
		}
	}
	majorityLost := 2*running <= len(f.controlMachines)
	if majorityLost && f.endMinority == nil {
		f.endMinority = f.recorder.Faults.NoMajority()
	}
	if !majorityLost && f.endMinority != nil {
		f.endMinority()
		f.endMinority = nil
	}
}
