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

// settingsWatcher reads the settings again: at a signal, and when their file has changed
// without one. It has no beat of its own; the program's beats call look.
type settingsWatcher struct {
	name        string
	file        string // "" where there is none
	load        func() (settings.Settings, []schema.Problem, error)
	log         *event.Log
	mu          sync.Mutex
	program     Reloader
	current     settings.Settings
	lastSeen    os.FileInfo // what the file looked like when it was last read
	nextCheck   time.Time   // the next look, a change after the last
	lastProblem string      // what was wrong at the last reading
}

// stat gives what the file looks like, nil when it can't be seen.
func (w *settingsWatcher) stat() os.FileInfo {
	if w.file == "" {
		return nil
	}
	info, err := os.Stat(w.file)
	if err != nil {
		return nil
	}
	return info
}

// checkFile reads the settings again if their file has changed since the last time.
func (w *settingsWatcher) checkFile() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.file == "" || w.program == nil || now.Before(w.nextCheck) {
		return
	}
	w.nextCheck = now.Add(w.current.ConfigBound)
	info := w.stat()
	if info == nil || w.lastSeen != nil && os.SameFile(info, w.lastSeen) && info.ModTime().Equal(w.lastSeen.ModTime()) && info.Size() == w.lastSeen.Size() {
		return
	}
	w.reloadLocked(info)
}

// reload does so in any case.
func (w *settingsWatcher) reload() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reloadLocked(w.stat())
}

// reloadLocked takes what can be taken and names what can't. Settings that can't
// be read leave those of before in force, and are looked at again: the file may
// be half written.
func (w *settingsWatcher) reloadLocked(info os.FileInfo) {
	loaded, problems, err := w.load()
	if err != nil || len(problems) > 0 {
		problem := "unreadable"
		if err != nil {
			problem = err.Error()
		} else {
			problem = problems[0].Place + ": " + problems[0].Message
		}
		if problem != w.lastProblem {
			w.log.Emit(event.SettingsInvalid, "faults", len(problems), "first", problem)
		}
		w.lastProblem = problem
		return
	}
	w.lastSeen, w.lastProblem = info, ""
	changed := settings.Changed(w.name, w.current, loaded)
	if len(changed) == 0 {
		return
	}
	reloadable := []string{"memory_bytes"}
	setMemoryLimit(loaded)
	if w.program != nil {
		reloadable = append(reloadable, w.program.Reload(loaded)...)
	}
	var applied, deferred []string
	for _, name := range changed {
		if slices.Contains(reloadable, name) {
			applied = append(applied, name)
		} else {
			deferred = append(deferred, name)
		}
	}
	if len(applied) > 0 {
		w.log.Emit(event.SettingsApplied, "settings", strings.Join(applied, " "))
	}
	if len(deferred) > 0 {
		w.log.Emit(event.SettingsNeedRestart, "settings", strings.Join(deferred, " "))
	}
	w.current = loaded
}

// setMemoryLimit sets the collector's limit. A part is kept back for what it does not
// count: stacks, the C library and bytes that wait unread.
func setMemoryLimit(s settings.Settings) {
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(s.MemoryBytes) * 3 / 4)
	}
}

// notReloadable is a program that takes none.
type notReloadable struct{}

func (notReloadable) Reload(settings.Settings) []string { return nil }
