package sim

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/ctl"
	"puffincrank/internal/httpapi"
)

// runCtl runs puffinctl against the fleet. It returns the exit code, standard output
// and standard error.
func (f *Fleet) runCtl(address string, args ...string) (int, string, string) {
	var stdout, stderr bytes.Buffer
	dial := func(ctx context.Context, _, target string) (net.Conn, error) {
		return f.Net.Host("10.0.9.9").Dial(ctx, target)
	}
	code := ctl.Run(append([]string{"--at", address}, args...), &stdout, &stderr, dial)
	return code, stdout.String(), stderr.String()
}

// TestCommands runs every puffinctl command and checks its exit code, and that any
// node gives the same answer.
func TestCommands(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	writeFile := func(name, content string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	synctest.Test(t, func(t *testing.T) {
		shape := WithAlt(Fumettoteca(0.1))
		shape.Nodes = 4
		fleet := NewFleet(t, shape, 80)
		defer fleet.Stop()
		fleet.Start()
		Wait(3 * time.Second)
		validFile := writeFile("good.json", strings.Replace(shape.Config, `"left_ms":800`, `"left_ms":700`, 1))
		invalidFile := writeFile("bad.json", strings.Replace(shape.Config, `"share":50`, `"share":49`, 1))
		first, second := fleet.Nodes[0].Host+":7003", fleet.ControlMachines[2].Host+":7003"
		for _, c := range []struct {
			args string
			code int
			want string
		}{
			{"status", 0, "configuration version 1"}, {"nodes", 0, "node-10.0.1.3"}, {"workers", 0, "pages-"}, {"services", 0, "lending"},
			{"duties", 0, "steward"}, {"classes", 0, "reading"}, {"paths", 0, "/loans"}, {"routes", 0, "/loans"}, {"history", 0, "applied whole"},
			{"events --name duty-won", 0, "duty=writer"}, {"config get", 0, `"services"`}, {"config check " + validFile, 0, "good"},
			{"config check " + invalidFile, 1, "add up to 99"}, {"config diff " + validFile, 0, "700"},
			{"config apply " + validFile + " --based-on 0", 1, "current version is 1"}, {"config apply " + validFile + " --based-on 1 --who tester", 0, "version 2"},
			{"propose read --based-on 2 --service pages2", 0, "trial 1 began"}, {"propose read --based-on 3 --service pages2", 1, "same path"},
			{"propose nothing --based-on 3 --service pages2", 1, "no path"}, {"trials", 0, "running"}, {"trials show 1", 0, "too few yet"},
			{"trials abort 1 --who tester", 0, "aborted"}, {"trials show 1", 0, "aborted by tester"}, {"trials show 9", 1, "no such trial"}, {"trials show", 2, "needs a trial's number"}, {"paths", 0, "never"},
			{"key put a/b one", 0, `"rev"`}, {"key put a/b two --if-rev 0", 1, "another"}, {"key get a/b", 0, "one"}, {"key list a", 0, "a/b"},
			{"watch a --from 1 --count 1", 0, `"key":"a/b"`}, {"key delete a/b", 0, `"rev"`}, {"key get a/b", 1, "no such key"},
			{"number next n", 0, `"number":1`}, {"number get n", 0, `"number":1`},
			{"lock acquire l --owner x", 0, `"fence":1`}, {"lock acquire l --owner y", 1, "another"}, {"lock list", 0, `"l"`}, {"lock release l --owner x", 0, "l"},
			{"drain node-10.0.1.2", 0, "draining"}, {"drain nobody", 1, "no such node"}, {"drain node-10.0.1.2 --undo", 0, "workers"},
			{"--version", 0, "wire 1 to 2, files 1"}, {"nonsense", 2, "--help"}, {"key fly", 2, "knows"}, {"--help", 0, "Exit codes"},
		} {
			code, stdout, stderr := fleet.runCtl(first, strings.Fields(c.args)...)
			if code != c.code || !strings.Contains(stdout+stderr, c.want) {
				t.Errorf("puffinctl %s: code %d, want %d with %q\n%s%s", c.args, code, c.code, c.want, stdout, stderr)
			}
		}
		// Any node gives the same answer.
		Wait(3 * time.Second)
		for _, cmd := range []string{"config get", "services", "history", "paths", "trials", "duties"} {
			_, fromFirst, _ := fleet.runCtl(first, append([]string{"--json"}, strings.Fields(cmd)...)...)
			_, fromSecond, _ := fleet.runCtl(second, append([]string{"--json"}, strings.Fields(cmd)...)...)
			if cmd == "duties" {
				_, fromFirst, _ = fleet.runCtl(first, cmd)
				_, fromSecond, _ = fleet.runCtl(second, cmd)
			}
			if fromFirst != fromSecond || len(fromFirst) < 20 {
				t.Errorf("%s differs between nodes:\n%s\n%s", cmd, fromFirst, fromSecond)
			}
		}
		// An unreachable node is named, and the next address is tried.
		if code, _, stderr := fleet.runCtl("10.0.1.77:7003,"+second, "status"); code != ctl.ExitOK || !strings.Contains(stderr, "10.0.1.77:7003 can't be reached") {
			t.Errorf("with an unreachable node first: code %d %s", code, stderr)
		}
		if code, _, _ := fleet.runCtl("10.0.1.77:7003", "status"); code != ctl.ExitUnreachable {
			t.Errorf("with no reachable node: code %d", code)
		}
		// When a node accepts a change and drops the connection, the outcome is
		// unknown and the change is not sent to another node.
		received := 0
		environment := fleet.env("breaker", "10.0.1.99", "north", new(atomic.Int64))
		if err := httpapi.Serve(fleet.g, environment, "10.0.1.99:7003", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			received++
			panic(http.ErrAbortHandler)
		}), time.Second); err != nil {
			t.Fatal(err)
		}
		if code, _, stderr := fleet.runCtl("10.0.1.99:7003,"+first, "number", "next", "n"); code != ctl.ExitUnknown || received != 1 || !strings.Contains(stderr, "outcome unknown") {
			t.Errorf("connection dropped: code %d %s after %d requests", code, stderr, received)
		}
		if _, stdout, _ := fleet.runCtl(first, "number", "get", "n"); !strings.Contains(stdout, `"number":1`) {
			t.Errorf("the change was sent twice: %s", stdout)
		}
		// Without a majority the change is refused and not applied.
		fleet.KillControlMachine(fleet.ControlMachines[0], true)
		fleet.KillControlMachine(fleet.ControlMachines[1], true)
		Wait(3 * time.Second)
		if code, stdout, stderr := fleet.runCtl(first, "number", "next", "n"); code != ctl.ExitUnavailable || !strings.Contains(stderr, "come back in") {
			t.Errorf("without a majority: code %d %s %s", code, stdout, stderr)
		}
		fleet.RestartControlMachine(fleet.ControlMachines[0])
		fleet.untilWritable(15 * time.Second)
		if _, stdout, _ := fleet.runCtl(first, "number", "get", "n"); !strings.Contains(stdout, `"number":1`) {
			t.Errorf("the refused change was applied: %s", fmt.Sprint(stdout))
		}
	})
}
