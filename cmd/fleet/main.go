// Command fleet is a test program. It runs a whole cluster as real processes on loopback
// addresses, with simulated workers and callers, injects the faults of a plan and prints a
// report. Its exit code is 1 if a guarantee was violated.
package main

import (
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"puffincrank/internal/fleetrun"
	"puffincrank/internal/sim"
)

type args struct {
	Shape         string  `arg:"--shape" default:"fumettoteca" help:"fumettoteca or ingenzi"`
	Plan          string  `arg:"--plan" default:"calm" help:"calm, kills, trials, versions, day, short or seeded"`
	Seed          uint64  `arg:"--seed" default:"1" help:"of the plan seeded: the same draws the same faults"`
	Duration      string  `arg:"--for" default:"60s" help:"how long the load runs, 10m at the most"`
	Scale         float64 `arg:"--scale" default:"1" help:"part of the deployment's rates, 1 at the most"`
	Programs      string  `arg:"--bin" default:"bin" help:"where the programs are"`
	AddressPrefix string  `arg:"--net" default:"127.0" help:"what all addresses begin with, on loopback"`
	OldPrograms   string  `arg:"--old" help:"programs of an earlier version that the run begins with, for plan versions"`
	Dir           string  `arg:"--dir" default:"run" help:"where props, logs and data go; made anew"`
	Stay          bool    `arg:"--stay" help:"bring the fleet up, print its addresses and stay until interrupted"`
}

func main() { os.Exit(run()) }

func run() int {
	var options args
	arg.MustParse(&options)
	duration, err := time.ParseDuration(options.Duration)
	shapes := map[string]func(float64) sim.Shape{"fumettoteca": sim.Fumettoteca, "ingenzi": sim.Ingenzi}
	_, known := fleetrun.Plans[options.Plan]
	if !strings.HasPrefix(options.AddressPrefix, "127.") || net.ParseIP(options.AddressPrefix+".0.1") == nil {
		fmt.Fprintln(os.Stderr, "fleet: --net must be the first two numbers of loopback addresses, such as 127.0")
		return 2
	}
	if err != nil || duration > 10*time.Minute || options.Scale <= 0 || options.Scale > 1 || shapes[options.Shape] == nil || !known {
		fmt.Fprintln(os.Stderr, "fleet: unknown shape or plan, or a time or scale out of bounds; see --help")
		return 2
	}
	coordinationRate := map[string]float64{"fumettoteca": 110, "ingenzi": 60}[options.Shape] * options.Scale
	if err = os.RemoveAll(filepath.Clean(options.Dir)); err == nil {
		err = os.MkdirAll(options.Dir, 0o755)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "fleet:", err)
		return 2
	}
	shape := shapes[options.Shape](options.Scale)
	if options.Plan == "trials" {
		shape = sim.WithAlt(shape)
	}
	fleet, err := fleetrun.New(options.Programs, options.Dir, options.AddressPrefix, shape, os.Stdout)
	if err == nil {
		fleet.OldPrograms, fleet.Seed = options.OldPrograms, options.Seed
		err = fleet.Start()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "fleet:", err)
		return 2
	}
	if options.Stay {
		fmt.Println("fronts:", fleet.IngressAddrs())
		fmt.Println("puffinctl --at", fleet.Nodes[0].Host+":7003", "status")
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
		<-signals
		fleet.Stop()
		return 0
	}
	if !fleet.Execute(options.Plan, duration, coordinationRate) {
		return 1
	}
	return 0
}
