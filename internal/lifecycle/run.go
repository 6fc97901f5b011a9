// Package lifecycle is the life of a program around its parts: props, signals and
// the polite stop.
package lifecycle

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	// The C library is linked as usual: the platform wants its programs dynamic.
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

// Program is what a main runs.
type Program interface {
	Start() error
	Stop()
}

// Site is where a program may find its settings instead of a file of ours, and
// the tongue that is spoken there.
type Site struct {
	Settings func(program string) (map[string]any, error)
	File     func() string // where they stand
	Dialect  dialect.Dialect
}

// load reads the props: from the site with the flag --site, or from our own
// file and flags.
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

// Main runs a program until it is told to end; the result is the exit code:
// 0 after a polite stop, 2 for bad props, 1 for a start that failed.
func Main(name string, args []string, site Site, build func(settings.Settings, env.Env) (Program, error)) int {
	if len(args) == 1 && args[0] == "--version" {
		fmt.Println(version.Line(name))
		return 0
	}
	// Signals are caught before anything else, so that a stop right after the start
	// is polite too, and those of each kind by themselves: the order to end must not
	// be lost because an order to read the settings waits to be taken.
	stopSignals, reloadSignals := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stopSignals, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	watcher := &settingsWatcher{name: name, load: func() (settings.Settings, []schema.Problem, error) { return load(name, args, site) }, file: settings.File(name, args)}
	if len(args) == 1 && args[0] == "--site" && site.File != nil {
		watcher.file = site.File()
	}
	// What it looks like is noted before it is read: a change in between is seen.
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

// stop ends a program politely. Orders that come meanwhile change nothing, since its
// grace period counts from the first; they are told of.
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
