package sim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/event"
	"puffincrank/internal/standin/actors"
	"puffincrank/internal/standin/checker"
)

// TestLateHeartbeatAfterSignOff: a worker signs off, and a heartbeat that it sent
// before arrives only after leave_ms. The worker still runs, but gets no request.
func TestLateHeartbeatAfterSignOff(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, readerDeployment(1, 0.12), 1)
		violations := s.runDay(10*time.Second, func() {
			Wait(time.Second)
			m := s.machines[0]
			m.worker.LeaveBy(context.Background(), actors.LeaveStyle{DeregistersFirst: true, HeartbeatDelay: 2100 * time.Millisecond, ExtraServingTime: 3 * time.Second})
		})
		if len(violations) > 0 {
			t.Errorf("violated guarantees: %v", violations)
		}
		if s.recorder.Exposure()[checker.Drain] == 0 {
			t.Error("the worker had no traffic before it left, which the test needs")
		}
	})
}

// TestCallersLeave: half of the callers disconnect before they are answered, at the
// ingress beside the worker and at others. Half a second later no retryable run of
// theirs goes on, and no request of theirs reaches a worker any more.
func TestCallersLeave(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, bookingDeployment(1, 0.3), 1)
		violations := s.runDay(10*time.Second, func() {
			for _, m := range s.machines {
				m.client.SetEarlyLeaveShare(0.5)
			}
		})
		if len(violations) > 0 {
			t.Errorf("violated guarantees: %v", violations)
		}
		if n := s.recorder.Exposure()[checker.Gone]; n < 20 {
			t.Errorf("only %d callers left during their runs, too few for the test", n)
		}
	})
}

// TestLeaveOutlivesNode: an acknowledged leave stays in force when the
// node that acknowledged it is killed right afterwards, alone or with the whole
// cluster, and when an older heartbeat arrives after the restart.
func TestLeaveOutlivesNode(t *testing.T) {
	t.Parallel()
	for _, signsOff := range []bool{false, true} {
		for _, all := range []bool{false, true} {
			t.Run(fmt.Sprintf("signs off first %v, all killed %v", signsOff, all), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { runLeaveSurvivesKill(t, signsOff, all) })
			})
		}
	}
}

func runLeaveSurvivesKill(t *testing.T, signsOff, killAll bool) {
	s := newSite(t, readerDeployment(1, 0.12), 1)
	a := faultRun{s, rand.New(rand.NewPCG(1, 2)), &[]*ControlMachine{}}
	var m *machine
	violations := s.runDay(16*time.Second, func() {
		Wait(time.Second)
		m = s.machines[0]
		left := make(chan struct{})
		s.g.Go("leave", func(context.Context) {
			m.worker.LeaveBy(context.Background(), actors.LeaveStyle{DeregistersFirst: signsOff, HeartbeatDelay: 1500 * time.Millisecond, ExtraServingTime: 6 * time.Second})
			close(left)
		})
		for !m.worker.Acknowledged() {
			Wait(time.Millisecond)
		}
		a.restartProcesses(m, killAll)
		<-left
	})
	if len(violations) > 0 {
		t.Errorf("violated guarantees: %v", violations)
	}
	if s.recorder.Exposure()[checker.Drain] == 0 {
		t.Error("the worker had no traffic before it left, which the test needs")
	}
}

// restartProcesses kills the node of a machine, or all processes of the cluster, and
// starts them again half a second later.
func (a faultRun) restartProcesses(m *machine, all bool) {
	machines := []*machine{m}
	if all {
		machines = a.all()
		for _, c := range a.controlMachines() {
			a.killCore(c, false)
		}
	}
	var endings []func()
	for _, m := range machines {
		endings = append(endings, a.recorder.Faults.Begin(m.name, "killed"))
		a.KillNode(m.Node)
	}
	Wait(500 * time.Millisecond)
	if all {
		for _, c := range a.controlMachines() {
			a.startCore(c, false)
		}
	}
	for i, m := range machines {
		a.startNode(m)
		endings[i]()
	}
}

// TestLeaveWithoutAnswer: a leave that the control plane can't record, because
// no machine of it is reachable or all its disks are full, is in force at once, but is
// acknowledged only once it is recorded.
func TestLeaveWithoutAnswer(t *testing.T) {
	t.Parallel()
	for name, trouble := range map[string]func(a faultRun, m *machine, on bool){
		"cut off": func(a faultRun, m *machine, on bool) { a.cutOff(m, on) },
		"full disks": func(a faultRun, _ *machine, on bool) {
			for _, c := range a.controlMachines() {
				c.Disk.LimitFreeBytes(map[bool]int{true: 0, false: -1}[on])
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runUnacknowledgedLeave(t, trouble) })
		})
	}
}

func runUnacknowledgedLeave(t *testing.T, trouble func(a faultRun, m *machine, on bool)) {
	s := newSite(t, readerDeployment(1, 0.12), 1)
	a := faultRun{s, rand.New(rand.NewPCG(1, 2)), &[]*ControlMachine{}}
	var draining atomic.Bool
	s.Log = func(e event.Entry) {
		if e.Name == "worker-state" && strings.Contains(e.Text, "to=draining") {
			draining.Store(true)
		}
	}
	s.runDay(12*time.Second, func() {
		m := s.machines[0]
		trouble(a, m, true)
		s.g.Go("leave", func(context.Context) {
			m.worker.LeaveBy(context.Background(), actors.LeaveStyle{ExtraServingTime: 4 * time.Second})
		})
		Wait(1500 * time.Millisecond)
		if m.worker.Acknowledged() {
			t.Error("the leave was acknowledged although the control plane could not record it")
		}
		if !draining.Load() {
			t.Error("the worker is not draining")
		}
		trouble(a, m, false)
		Wait(2 * time.Second)
		if !m.worker.Acknowledged() {
			t.Error("the leave was not acknowledged after the failure ended")
		}
	})
}

// TestLateHeartbeatDuringRestart guards against a worker that comes back after an acknowledged
// leave. Its node is killed together with the core, and a heartbeat from before the leave reaches the
// restarted node while the core is away, so that the node knows of nothing yet.
func TestLateHeartbeatDuringRestart(t *testing.T) {
	skipUnderRace(t)
	for seed := range uint64(6) {
		for _, signsOff := range []bool{true, false} {
			t.Run(fmt.Sprintf("signs off first %v, seed %d", signsOff, seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { runLateHeartbeatDuringRestart(t, signsOff, seed) })
			})
		}
	}
}

func runLateHeartbeatDuringRestart(t *testing.T, signsOff bool, seed uint64) {
	s := newSite(t, readerDeployment(seed, 0.3), seed)
	a := faultRun{s, rand.New(rand.NewPCG(seed, 2)), &[]*ControlMachine{}}
	offered := 0
	violations := s.runDay(16*time.Second, func() {
		Wait(time.Second)
		m := s.machines[a.IntN(len(s.machines))]
		left := make(chan struct{})
		s.g.Go("leave", func(context.Context) {
			m.worker.LeaveBy(context.Background(), actors.LeaveStyle{DeregistersFirst: signsOff, HeartbeatDelay: 500*time.Millisecond + a.ms(0, 300), ExtraServingTime: 6 * time.Second})
			close(left)
		})
		for !m.worker.Acknowledged() {
			Wait(time.Millisecond)
		}
		end := a.recorder.Faults.Begin(m.name, "killed")
		for _, c := range a.controlMachines() {
			a.killCore(c, false)
		}
		a.KillNode(m.Node)
		Wait(200 * time.Millisecond)
		a.startNode(m)
		Wait(800 * time.Millisecond)
		for _, c := range a.controlMachines() {
			a.startCore(c, false)
		}
		end()
		// From here on the machines count as connected.
		Wait(s.recorder.Bounds.Connect)
		for _, other := range s.machines {
			for _, entry := range other.Proxy.Offered(m.service) {
				if entry.Worker == m.worker.Name && entry.Meta["state"] == "up" {
					offered++
				}
			}
		}
		<-left
	})
	if len(violations) > 0 {
		t.Errorf("violated guarantees: %v", violations)
	}
	if offered > 0 {
		t.Errorf("%d nodes offer the worker that left", offered)
	}
}
