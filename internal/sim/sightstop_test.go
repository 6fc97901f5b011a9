package sim

import (
	"context"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/event"
	"puffincrank/internal/standin"
)

// collectEvents records the events of a fleet. The returned function gives those of one name.
func collectEvents(f *Fleet) func(name string) []string {
	entries := map[string][]string{}
	f.Log = func(e event.Entry) {
		f.mu.Lock()
		entries[e.Name] = append(entries[e.Name], e.Node+" "+e.Text)
		f.mu.Unlock()
	}
	return func(name string) []string {
		f.mu.Lock()
		defer f.mu.Unlock()
		return append([]string(nil), entries[name]...)
	}
}

// TestLogsRequestEndedByStop: an ingress gets its stop signal while a worker runs a
// request of its caller for longer than the ingress can wait. The log shows what ended
// the request, how long after the stop signal, and at which worker it ran.
func TestLogsRequestEndedByStop(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := smallShape()
		s.ServiceTimes["pages"] = 60 * time.Second
		s.Config = strings.Replace(s.Config, `"class":"reading","left_ms":1000`, `"class":"reading","left_ms":60000,"aim_ms":50000`, 1)
		f := NewFleet(t, s, 441)
		lines := collectEvents(f)
		defer f.Stop()
		f.Start()
		ingress := f.nodeNotServing("pages")
		line := s.Lines[0]
		line.Timeout = "60000"
		results := make(chan []standin.Call, 1)
		f.g.Go("call", func(context.Context) { results <- f.callAtIngress(ingress, line, 1) })
		Wait(300 * time.Millisecond)
		ingress.Proxy.Stop()
		<-results
		logged := strings.Join(lines("unanswered"), "\n")
		match := regexp.MustCompile(`by=stop .*worker=\S+ owner=\S+ held_ms=\d+ stop_ms=(\d+)`).FindStringSubmatch(logged)
		if match == nil {
			t.Fatalf("the log does not show what ended the request: %q", logged)
		}
		if ms, _ := strconv.Atoi(match[1]); ms < 1000 || ms > 15000 { // of a grace period of 15 s
			t.Errorf("the request ended %d ms after the stop signal, want 1000 to 15000", ms)
		}
		if len(lines("stopped")) == 0 || !strings.Contains(strings.Join(lines("stopped"), "\n"), "after_ms=") {
			t.Error("the log does not show how long the shutdown took")
		}
	})
}

// TestLogsOwnerOfLostRun: an owner gets its stop signal while its worker runs a
// request of another node, the ingress, which gets its stop signal as well. The log of
// the ingress names the worker and the owner where the run was lost, and how long ago
// that owner got its stop signal; not the worker that was tried last.
//
// The failure: the log named the worker tried last, so "its node is ending" was logged
// for a node whose own stop signal came 5.66 s later.
func TestLogsOwnerOfLostRun(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f, _ := stopFleet(t, 443, time.Second)
		line := smallShape().Lines[2]
		line.Timeout = "60000"
		lines := collectEvents(f)
		defer f.Stop()
		f.Start()
		ingress := f.nodeNotServing("scans")
		results := make(chan []standin.Call, 1)
		f.g.Go("call", func(context.Context) { results <- f.callAtIngress(ingress, line, 1) })
		Wait(400 * time.Millisecond)
		var owner *Node
		for _, n := range f.Nodes {
			if n.Worker.Service == "scans" && n.Worker.Ran() > 0 {
				owner = n
			}
		}
		if owner == nil {
			t.Fatal("no worker runs the request, which the test needs")
		}
		f.g.Go("stop-owner", func(context.Context) { owner.Proxy.Stop() })
		Wait(owner.Proxy.Settings.GracePeriod * 3 / 8)
		ingress.Proxy.Stop()
		<-results
		logged := strings.Join(lines("unanswered"), "\n")
		match := regexp.MustCompile(`by=owner why=its node is ending worker=` + owner.Worker.ID + ` owner=` + owner.Proxy.Settings.Node + ` .*stop_ms=\d+ owner_stop_ms=(\d+) sends=\d+ then=`).FindStringSubmatch(logged)
		if match == nil {
			t.Fatalf("the log does not show at which node the run was lost, and why: %q", logged)
		}
		if ms, _ := strconv.Atoi(match[1]); ms < 12000 || ms > 15000 { // of a grace period of 15 s
			t.Errorf("the run was lost %d ms after the stop signal of its owner, want 12000 to 15000", ms)
		}
	})
}

// TestLogsHoldersOfConfigVersions: for each acknowledged change of the configuration
// the leader's log names the members that had it on disk by then, and the log of a
// store that restarts shows what its disk held.
func TestLogsHoldersOfConfigVersions(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(t, smallShape(), 442)
		lines := collectEvents(f)
		defer f.Stop()
		f.Start()
		var last uint64
		for i := range 5 {
			code, v := f.Apply(f.Nodes[0].Host+":7003", uint64(i+1), smallShape().Config)
			if code != 200 {
				t.Fatalf("apply answered %d", code)
			}
			last = v
		}
		chosen := strings.Join(lines("chosen"), "\n")
		for v := uint64(1); v <= last; v++ {
			held := regexp.MustCompile(` version=` + strconv.FormatUint(v, 10) + ` ballot=\S+ held_by=\[(\S+ \S+[^]]*)\]`).FindString(chosen)
			if held == "" {
				t.Errorf("the log does not show which members held version %d: %s", v, chosen)
			}
		}
		for _, c := range f.ControlMachines {
			f.KillControlMachine(c, true)
		}
		for _, c := range f.ControlMachines {
			f.RestartControlMachine(c)
		}
		f.Until(15*time.Second, "all stores are ready", f.controlPlaneReady)
		reopened := regexp.MustCompile(`replica=\w+ applied=\d+ digest=\w* version=(\d+) accepted=\d+ promised=`).FindAllStringSubmatch(strings.Join(lines("reopened"), "\n"), -1)
		if len(reopened) < 2*len(f.ControlMachines) {
			t.Fatalf("only %d of %d starts logged what the disk held", len(reopened), 2*len(f.ControlMachines))
		}
		for _, m := range reopened[len(reopened)-len(f.ControlMachines):] {
			if v, _ := strconv.ParseUint(m[1], 10, 64); v+1 < last {
				t.Errorf("a disk held version %d of %d", v, last)
			}
		}
	})
}
