// Package lifecycle runs a program: it loads the settings, handles signals and shuts the program
// down gracefully.
package lifecycle

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	// These imports link the C library, since the platform requires dynamically linked programs.
	_ "os/user"
	_ "runtime/cgo"

	"github.com/alexflint/go-arg"

	"puffincrank/internal/dialect"
	"puffincrank/internal/disk"
	"puffincrank/internal/env"
	"puffincrank/internal/event"
	"puffincrank/internal/schema"
	"puffincrank/internal/settings"
	"puffincrank/internal/task"
	"puffincrank/internal/version"
)

// Program is what Main runs.
type Program interface {
	Start() error
	Stop()
}

// Site provides the settings in place of a settings file, and the dialect that is spoken there.
type Site struct {
	Settings func(program string) (map[string]any, error)
	File     func() string // where they are stored
	Dialect  dialect.Dialect
}

// load reads the settings: from the site with the flag --site, or from the settings file and flags.
func load(name string, args []string, site Site) (settings.Settings, []schema.Problem, error) {
	if len(args) == 1 && args[0] == "--site" && site.Settings != nil {
		values, err := site.Settings(name)
		if err != nil {
			return settings.Settings{}, nil, err
		}
		return settings.FromValues(name, values)
	}
	return settings.Load(name, args)
}

// Main runs a program until a stop signal and returns the exit code: 0 after a graceful shutdown, 2
// for invalid settings, 1 for a failed start.
func Main(name string, args []string, site Site, build func(settings.Settings, env.Env) (Program, error)) int {
	if len(args) == 1 && args[0] == "--version" {
		fmt.Println(version.Line(name))
		return 0
	}
	// Signals are caught before anything else, so that a stop right after the start is graceful
	// too. Stop and reload signals have a channel each, so that a stop signal is not lost while a
	// reload signal waits in the buffer.
	stopSignals, reloadSignals := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stopSignals, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	watcher := &settingsWatcher{name: name, load: func() (settings.Settings, []schema.Problem, error) { return load(name, args, site) }, file: settings.File(name, args)}
	if len(args) == 1 && args[0] == "--site" && site.File != nil {
		watcher.file = site.File()
	}
	// The metadata is taken before the file is read, so that a change in between is noticed.
	watcher.lastSeen = watcher.stat()
	loaded, problems, err := watcher.load()
	if errors.Is(err, arg.ErrHelp) {
		return 0
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return 2
	}
	for _, problem := range problems {
		fmt.Fprintf(os.Stderr, "%s: prop %s: %s\n", name, problem.Place, problem.Message)
	}
	if len(problems) > 0 {
		return 2
	}
	environment := env.Real(loaded.Node)
	if len(args) == 1 && args[0] == "--site" {
		environment.Dialect = site.Dialect
	}
	setMemoryLimit(loaded)
	watcher.current, watcher.log, environment.CheckSettings = loaded, environment.Log, watcher.checkFile
	if loaded.DataDir != "" {
		dir, err := disk.Open(loaded.DataDir)
		if err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
			return 1
		}
		environment.FS = dir
	}
	program, err := build(loaded, environment)
	if err == nil {
		err = program.Start()
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return 1
	}
	watcher.mu.Lock()
	if watcher.program, _ = program.(Reloader); watcher.program == nil {
		watcher.program = notReloadable{}
	}
	watcher.mu.Unlock()
	for {
		select {
		case <-stopSignals:
			stop(program, stopSignals, reloadSignals, environment.Log)
			return 0
		case <-reloadSignals:
			watcher.reload()
		}
	}
}

// stop shuts a program down gracefully. Further signals are logged but change nothing, since the
// grace period counts from the first.
func stop(program Program, stopSignals, reloadSignals <-chan os.Signal, log *event.Log) {
	stopped := make(chan struct{})
	group := task.New(context.Background())
	group.Go("stop", func(context.Context) {
		program.Stop()
		close(stopped)
	})
	for start := time.Now(); ; {
		select {
		case <-stopped:
			return
		case s := <-stopSignals:
			log.Emit(event.SecondStopSignal, "signal", s, "after_ms", time.Since(start).Milliseconds())
		case s := <-reloadSignals:
			log.Emit(event.SecondStopSignal, "signal", s, "after_ms", time.Since(start).Milliseconds())
		}
	}
}
