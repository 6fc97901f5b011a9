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

// Reloader is a program that applies changed settings while it runs. Reload returns the names of
// the settings that it applies; all others need a restart.
type Reloader interface {
	Reload(settings.Settings) []string
}

// settingsWatcher reads the settings again at a signal, and when their file has changed without
// one. It has no timer of its own; the program's periodic work calls checkFile.
type settingsWatcher struct {
	name        string
	file        string // empty when there is none
	load        func() (settings.Settings, []schema.Problem, error)
	log         *event.Log
	mu          sync.Mutex
	program     Reloader
	current     settings.Settings
	lastSeen    os.FileInfo // the file's metadata at the last successful reading
	nextCheck   time.Time   // earliest time of the next check, ConfigBound after the last one
	lastProblem string      // the first problem of the last reading
}

// stat returns the file's metadata, nil when it is not accessible.
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

// checkFile reads the settings again if their file has changed since the last reading.
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

// reload reads the settings again in any case.
func (w *settingsWatcher) reload() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reloadLocked(w.stat())
}

// reloadLocked applies the settings that can change at run time and logs the names of the others.
// Invalid settings leave the previous ones in force and are read again at the next check, since the
// file may be half written.
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

// setMemoryLimit sets the memory limit of the garbage collector. A quarter is reserved for what it
// does not count: stacks, the C library and unread bytes in socket buffers.
func setMemoryLimit(s settings.Settings) {
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(s.MemoryBytes) * 3 / 4)
	}
}

// notReloadable stands for a program that cannot change its settings at run time.
type notReloadable struct{}

func (notReloadable) Reload(settings.Settings) []string { return nil }
