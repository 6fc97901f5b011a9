package sim

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// commandCheck is a puffinctl command with its expected exit code and part of its output.
type commandCheck struct {
	args string
	code int
	want string
}

func (s *site) checkCommand(at string, check commandCheck) {
	code, stdout, stderr := s.runCtl(at, strings.Fields(check.args)...)
	if code != check.code || !strings.Contains(stdout+stderr, check.want) {
		s.T.Errorf("puffinctl %s at %s: code %d, want %d with %q\n%s%s", check.args, at, code, check.code, check.want, stdout, stderr)
	}
}

// TestSiteCommands: every puffinctl command that operators use, at a node and at a
// control plane host, against a deployment that speaks a dialect other than the
// product's own. Documents carry the operator's numbers, and there is traffic.
func TestSiteCommands(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		d := deploy(9, 9, 12, time.Millisecond, time.Millisecond, []string{"top"}, []int{9}, []routeRow{
			{kind: "look", repeat: "safe", service: "top", rate: 100, work: 40, aim: 300, left: 1500, back: 200, method: "GET"},
		}, 1)
		s := newSite(t, d, 31)
		violations := s.runDay(16*time.Second, func() {
			Wait(2 * time.Second)
			_, doc, _ := s.runCtl(s.control()[0], "config", "get")
			goodFile := filepath.Join(dir, "good.json")
			if err := os.WriteFile(goodFile, []byte(doc), 0o600); err != nil {
				t.Fatal(err)
			}
			for _, at := range []string{s.control()[1], s.all()[0].Host + ":7003"} {
				for _, c := range []commandCheck{
					{"status", 0, "configuration version"}, {"nodes", 0, s.all()[3].Host}, {"workers", 0, "w4-1"}, {"services", 0, s.deployment.services[0]},
					{"duties", 0, "writer"}, {"classes", 0, "rank"}, {"paths", 0, s.deployment.services[0]}, {"history", 0, "1"}, {"events --name duty-won", 0, "duty=writer"},
					{"config get", 0, `"paths"`}, {"config check " + goodFile, 0, "good"}, {"config diff " + goodFile, 0, ""},
					{"trials", 0, ""}, {"drain node-" + s.all()[5].Host, 0, "draining"}, {"drain node-" + s.all()[5].Host + " --undo", 0, "workers"},
					{"key put a/b one", 0, `"rev"`}, {"key get a/b", 0, "one"}, {"key delete a/b", 0, `"rev"`}, {"number next n", 0, `"number"`},
					{"lock acquire l --owner x", 0, `"fence"`}, {"lock release l --owner x", 0, "l"},
					{"config apply " + goodFile + " --based-on 0", 1, "current version"},
				} {
					s.checkCommand(at, c)
				}
			}
			// A trial between two documents of the operator.
			for _, c := range []commandCheck{
				{"propose p-look --based-on 0 --tries 3", 1, "current version"}, {"propose p-look --based-on 1 --tries 3", 0, "trial 1 began"},
				{"trials", 0, "running"}, {"paths", 0, "10% in trial 1"}, {"trials abort 1 --who tester", 0, "aborted"}, {"trials show 1", 0, "aborted by tester"},
			} {
				s.checkCommand(s.control()[2], c)
			}
		})
		if len(violations) > 0 {
			t.Errorf("violated guarantees: %v", violations)
		}
	})
}
