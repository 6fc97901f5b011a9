// Package run is the life of a program around its parts: props, signals and
// the polite stop.
package run

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	// The C library is linked as usual: the platform wants its programs dynamic.
	_ "os/user"
	_ "runtime/cgo"

	"github.com/alexflint/go-arg"

	"puffincrank/internal/disk"
	"puffincrank/internal/env"
	"puffincrank/internal/props"
	"puffincrank/internal/version"
)

// Program is what a main runs.
type Program interface {
	Start() error
	Stop()
}

// Main runs a program until it is told to end; the result is the exit code:
// 0 after a polite stop, 2 for bad props, 1 for a start that failed.
func Main(name string, args []string, build func(props.Props, env.Env) (Program, error)) int {
	if len(args) == 1 && args[0] == "--version" {
		fmt.Println(version.Line(name))
		return 0
	}
	p, bad, err := props.Load(name, args)
	if errors.Is(err, arg.ErrHelp) {
		return 0
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return 2
	}
	for _, f := range bad {
		fmt.Fprintf(os.Stderr, "%s: prop %s: %s\n", name, f.Place, f.Wrong)
	}
	if len(bad) > 0 {
		return 2
	}
	e := env.Real(p.Node)
	if p.Data != "" {
		dir, err := disk.Open(p.Data)
		if err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
			return 1
		}
		e.FS = dir
	}
	// The signals are caught before the ports open: a stop right after the
	// start is polite too.
	sig := make(chan os.Signal, 1)
	signal.Notify(sig, syscall.SIGTERM, syscall.SIGINT)
	prog, err := build(p, e)
	if err == nil {
		err = prog.Start()
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return 1
	}
	<-sig
	prog.Stop()
	return 0
}
