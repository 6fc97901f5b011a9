package lifecycle

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/event"
	"puffincrank/internal/schema"
	"puffincrank/internal/settings"
)

type fakeReloader struct{ applied []settings.Settings }

func (r *fakeReloader) Reload(s settings.Settings) []string {
	r.applied = append(r.applied, s)
	return []string{"seeds", "jobs"}
}

// TestReload checks that a changed file is noticed without a signal, within ConfigBound, by the
// periodic check. Settings that can change at run time are applied, the names of the others are
// logged. An invalid or half-written file changes nothing and is logged once.
func TestReload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		path := filepath.Join(t.TempDir(), "props.json")
		write := func(extra string) {
			t.Helper()
			doc := `{"node":"n","area":"a","inner":"127.0.0.1:1","outer":"127.0.0.1:2","traffic":"127.0.0.1:3","change_ms":2000` + extra + `}`
			if err := os.WriteFile(path+".new", []byte(doc), 0o600); err != nil {
				t.Fatal(err)
			}
			if err := os.Rename(path+".new", path); err != nil {
				t.Fatal(err)
			}
		}
		write(`,"seeds":["127.0.0.1:4"]`)
		reads := 0
		load := func() (settings.Settings, []schema.Problem, error) {
			reads++
			return settings.Load("proxy", []string{"--props", path})
		}
		var events []string
		log := event.New("n", nil)
		log.SetListener(func(e event.Entry) { events = append(events, fmt.Sprint(e.Name, " ", e.Text)) })
		program := &fakeReloader{}
		watcher := &settingsWatcher{name: "proxy", file: settings.File("proxy", []string{"--props", path}), load: load, log: log, program: program}
		watcher.lastSeen = watcher.stat()
		loaded, problems, err := watcher.load()
		if err != nil || len(problems) > 0 {
			t.Fatal(problems, err)
		}
		watcher.current, reads = loaded, 0
		// The periodic checks of three times ConfigBound.
		runChecks := func() {
			events = nil
			for range 30 {
				<-time.After(200 * time.Millisecond)
				watcher.checkFile()
			}
		}
		runChecks()
		if reads != 0 || len(events) > 0 {
			t.Fatalf("an unchanged file was read %d times, events %v", reads, events)
		}
		write(`,"seeds":["127.0.0.1:5"],"leave_ms":2500`)
		runChecks()
		if reads != 1 || len(program.applied) != 1 || program.applied[0].Seeds[0] != "127.0.0.1:5" {
			t.Fatalf("read %d times, applied %v", reads, program.applied)
		}
		if all := strings.Join(events, "\n"); !strings.Contains(all, "settings-taken") || !strings.Contains(all, "seeds") || !strings.Contains(all, "settings-later") || !strings.Contains(all, "leave_ms") {
			t.Errorf("events: %v", events)
		}
		write(`,"seeds":["127.0.0.1:6"],"jobs":1`)
		runChecks()
		if len(program.applied) != 1 || len(events) != 1 || !strings.Contains(events[0], "settings-bad") {
			t.Errorf("an invalid file: applied %d times, events %v", len(program.applied), events)
		}
		write(`,"seeds":["127.0.0.1:6"],"jobs":64,"leave_ms":2500`)
		watcher.reload()
		if len(program.applied) != 2 || program.applied[1].MaxRequests != 64 {
			t.Errorf("after a signal: applied %v", program.applied)
		}
		reads = 0
		runChecks()
		if reads != 0 {
			t.Errorf("the file was read %d more times after the signal", reads)
		}
		if err := os.Remove(path); err != nil {
			t.Fatal(err)
		}
		runChecks()
		if reads != 0 || len(events) > 0 {
			t.Errorf("a deleted file: read %d times, events %v", reads, events)
		}
	})
}
