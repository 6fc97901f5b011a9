package lifecycle

import (
	"os"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"time"

	"puffincrank/internal/event"
	"puffincrank/internal/schema"
	"puffincrank/internal/settings"
)

// Reloader is a program that takes up changed settings while it runs; it names
// those that it takes. All others hold for the life of the process.
type Reloader interface {
	Reload(settings.Settings) []string
}

// watch reads the settings again: at a signal, and when their file has changed
// without one. It has no beat of its own; the program's beats call look.
type watch struct {
	name string
	file string // "" where there is none
	load func() (settings.Settings, []schema.Problem, error)
	log  *event.Log
	mu   sync.Mutex
	prog Reloader
	now  settings.Settings
	seen os.FileInfo // what the file looked like when it was last read
	next time.Time   // the next look, a change after the last
	bad  string      // what was wrong at the last reading
}

// stat gives what the file looks like, nil when it can't be seen.
func (w *watch) stat() os.FileInfo {
	if w.file == "" {
		return nil
	}
	i, err := os.Stat(w.file)
	if err != nil {
		return nil
	}
	return i
}

// look reads the settings again if their file has changed since the last time.
func (w *watch) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.file == "" || w.prog == nil || now.Before(w.next) {
		return
	}
	w.next = now.Add(w.now.ConfigBound)
	i := w.stat()
	if i == nil || w.seen != nil && os.SameFile(i, w.seen) && i.ModTime().Equal(w.seen.ModTime()) && i.Size() == w.seen.Size() {
		return
	}
	w.readLocked(i)
}

// read does so in any case.
func (w *watch) read() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.readLocked(w.stat())
}

// readLocked takes what can be taken and names what can't. Settings that can't
// be read leave those of before in force, and are looked at again: the file may
// be half written.
func (w *watch) readLocked(i os.FileInfo) {
	p, bad, err := w.load()
	if err != nil || len(bad) > 0 {
		why := "unreadable"
		if err != nil {
			why = err.Error()
		} else {
			why = bad[0].Place + ": " + bad[0].Message
		}
		if why != w.bad {
			w.log.Emit(event.SettingsInvalid, "faults", len(bad), "first", why)
		}
		w.bad = why
		return
	}
	w.seen, w.bad = i, ""
	all := settings.Changed(w.name, w.now, p)
	if len(all) == 0 {
		return
	}
	taken := []string{"memory_bytes"}
	remember(p)
	if w.prog != nil {
		taken = append(taken, w.prog.Reload(p)...)
	}
	var now, later []string
	for _, n := range all {
		if slices.Contains(taken, n) {
			now = append(now, n)
		} else {
			later = append(later, n)
		}
	}
	if len(now) > 0 {
		w.log.Emit(event.SettingsApplied, "settings", strings.Join(now, " "))
	}
	if len(later) > 0 {
		w.log.Emit(event.SettingsNeedRestart, "settings", strings.Join(later, " "))
	}
	w.now = p
}

// remember sets the collector's limit. A part is kept back for what it does not
// count: stacks, the C library and bytes that wait unread.
func remember(p settings.Settings) {
	if p.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(p.MemoryBytes) * 3 / 4)
	}
}

// fixed is a program that takes none.
type fixed struct{}

func (fixed) Reload(settings.Settings) []string { return nil }
