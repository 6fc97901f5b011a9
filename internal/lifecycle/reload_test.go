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

type taker struct{ got []settings.Settings }

func (k *taker) Reload(p settings.Settings) []string {
	k.got = append(k.got, p)
	return []string{"seeds", "jobs"}
}

// TestSettingsAgain: a changed file is seen without a signal, within a change,
// by whatever beat looks; what can be taken is, the rest is named; a wrong or
// half written file leaves all as it was and is told once.
func TestSettingsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		at := filepath.Join(t.TempDir(), "props.json")
		write := func(more string) {
			t.Helper()
			doc := `{"node":"n","area":"a","inner":"127.0.0.1:1","outer":"127.0.0.1:2","traffic":"127.0.0.1:3","change_ms":2000` + more + `}`
			if err := os.WriteFile(at+".new", []byte(doc), 0o600); err != nil {
				t.Fatal(err)
			}
			if err := os.Rename(at+".new", at); err != nil {
				t.Fatal(err)
			}
		}
		write(`,"seeds":["127.0.0.1:4"]`)
		reads := 0
		load := func() (settings.Settings, []schema.Problem, error) {
			reads++
			return settings.Load("proxy", []string{"--props", at})
		}
		var said []string
		log := event.New("n", nil)
		log.SetListener(func(e event.Entry) { said = append(said, fmt.Sprint(e.Name, " ", e.Text)) })
		k := &taker{}
		w := &settingsWatcher{name: "proxy", file: settings.File("proxy", []string{"--props", at}), load: load, log: log, program: k}
		w.lastSeen = w.stat()
		p, bad, err := w.load()
		if err != nil || len(bad) > 0 {
			t.Fatal(bad, err)
		}
		w.current, reads = p, 0
		// The beats of three changes.
		beats := func() {
			said = nil
			for range 30 {
				<-time.After(200 * time.Millisecond)
				w.checkFile()
			}
		}
		beats()
		if reads != 0 || len(said) > 0 {
			t.Fatalf("%d readings of a file that did not change, %v", reads, said)
		}
		write(`,"seeds":["127.0.0.1:5"],"leave_ms":2500`)
		beats()
		if reads != 1 || len(k.got) != 1 || k.got[0].Seeds[0] != "127.0.0.1:5" {
			t.Fatalf("%d readings, taken %v", reads, k.got)
		}
		if all := strings.Join(said, "\n"); !strings.Contains(all, "settings-taken") || !strings.Contains(all, "seeds") || !strings.Contains(all, "settings-later") || !strings.Contains(all, "leave_ms") {
			t.Errorf("told: %v", said)
		}
		write(`,"seeds":["127.0.0.1:6"],"jobs":1`)
		beats()
		if len(k.got) != 1 || len(said) != 1 || !strings.Contains(said[0], "settings-bad") {
			t.Errorf("a wrong file: taken %d times, told %v", len(k.got), said)
		}
		write(`,"seeds":["127.0.0.1:6"],"jobs":64,"leave_ms":2500`)
		w.reload()
		if len(k.got) != 2 || k.got[1].MaxRequests != 64 {
			t.Errorf("a signal: taken %v", k.got)
		}
		reads = 0
		beats()
		if reads != 0 {
			t.Errorf("%d readings after the signal's", reads)
		}
		if err := os.Remove(at); err != nil {
			t.Fatal(err)
		}
		beats()
		if reads != 0 || len(said) > 0 {
			t.Errorf("a file that is gone: %d readings, %v", reads, said)
		}
	})
}
