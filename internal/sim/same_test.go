package sim

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/ctl"
)

// readCommands are the commands whose answers must not depend on the queried node.
// Status, nodes, workers, classes and running trials are left out, since they show
// counts that change all the time.
var readCommands = []string{"config get", "history", "paths", "trials", "trials show 1", "lock list", "lock get l", "key list", "key get k", "number get n", "duties", "services"}

// TestSameAnswer: every read command at every node, in both shapes, while
// the leader changes and a node is cut off from part of the control plane. All nodes
// that answer give the same answer; the others report that they are unavailable.
func TestSameAnswer(t *testing.T) {
	skipUnderRace(t)
	for i, s := range []Shape{WithAlt(Fumettoteca(0.1)), WithAlt(Ingenzi(0.1))} {
		t.Run(s.Services[0], func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := NewFleet(t, s, uint64(i)+390)
				defer f.Stop()
				f.Start()
				at := f.Nodes[0].Host + ":7003"
				for _, c := range []string{"lock acquire l --owner x --ttl-ms 600000", "key put k v", "number next n",
					"propose " + firstRouteName(s) + " --based-on 1 --service " + s.Services[0] + "2",
					"trials abort 1"} {
					if code, out, stderr := f.runCtl(at, strings.Fields(c)...); code != ctl.ExitOK {
						t.Fatalf("%s: %d %s%s", c, code, out, stderr)
					}
				}
				Wait(2 * time.Second)
				var addresses []string
				for _, h := range f.hosts() {
					addresses = append(addresses, h+":7003")
				}
				refused := 0
				round := func(phase string) {
					for _, cmd := range readCommands {
						first, firstAt := "", ""
						answered := 0
						for _, at := range addresses {
							code, out, stderr := f.runCtl(at, strings.Fields("--wait 3s "+cmd)...)
							if code == ctl.ExitUnreachable || code == ctl.ExitUnavailable {
								refused++
								continue
							}
							answered++
							if first == "" {
								first, firstAt = out, at
							}
							if code != ctl.ExitOK || out != first {
								t.Errorf("%s: %s at %s (%d) differs from %s:\n%s%s\n%s", phase, cmd, at, code, firstAt, out, stderr, first)
							}
						}
						if answered < len(addresses)/2 {
							t.Errorf("%s: %s was answered by only %d of %d nodes", phase, cmd, answered, len(addresses))
						}
					}
				}
				round("calm")
				refusedCalm := refused
				c := f.markFaulted(f.Leader())
				n := f.Nodes[1]
				for _, o := range f.ControlMachines[:2] {
					f.Net.Cut(n.Host, o.Host, true)
					f.Net.Cut(o.Host, n.Host, true)
				}
				f.KillControlMachine(c, true)
				Wait(3 * time.Second)
				addresses = addresses[:0]
				for _, h := range f.hosts() {
					if h != c.Host {
						addresses = append(addresses, h+":7003")
					}
				}
				round("a control plane machine down, a node cut off from two")
				f.RestartControlMachine(c)
				f.Until(10*time.Second, "all stores are ready", f.controlPlaneReady)
				f.Net.Isolate(n.Host, false)
				Wait(2 * time.Second)
				f.Net.PauseProcess("store-"+f.markFaulted(f.Leader()).Host, true)
				Wait(2500 * time.Millisecond)
				round("the leader paused")
				f.Net.PauseProcess("store-"+f.faulted.Host, false)
				t.Logf("%d reads refused without a failure, %d in all", refusedCalm, refused)
				if refusedCalm > 0 {
					t.Error("reads were refused although nothing had failed")
				}
			})
		})
	}
}

func firstRouteName(s Shape) string {
	list := ParseConfig(s.Config)["paths"].([]any)
	return list[0].(map[string]any)["name"].(string)
}
