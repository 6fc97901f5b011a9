// Command fleet is a test program: it runs a whole mesh as real processes on
// loopback addresses, with stand-in workers and callers, brings faults about,
// and ends with a report; its exit code is 1 when something was seen that
// must never happen.
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
	Shape string  `arg:"--shape" default:"fumettoteca" help:"fumettoteca or ingenzi"`
	Plan  string  `arg:"--plan" default:"calm" help:"calm, kills, trials, versions, day, short or seeded"`
	Seed  uint64  `arg:"--seed" default:"1" help:"of the plan seeded: the same draws the same faults"`
	For   string  `arg:"--for" default:"60s" help:"how long the load runs, 10m at the most"`
	Scale float64 `arg:"--scale" default:"1" help:"part of the deployment's rates, 1 at the most"`
	Bin   string  `arg:"--bin" default:"bin" help:"where the programs are"`
	Net   string  `arg:"--net" default:"127.0" help:"what all addresses begin with, on loopback"`
	Old   string  `arg:"--old" help:"programs of an earlier version that the run begins with, for plan versions"`
	Dir   string  `arg:"--dir" default:"run" help:"where props, logs and data go; made anew"`
	Stay  bool    `arg:"--stay" help:"bring the fleet up, print its addresses and stay until interrupted"`
}

func main() { os.Exit(run()) }

func run() int {
	var a args
	arg.MustParse(&a)
	long, err := time.ParseDuration(a.For)
	shapes := map[string]func(float64) sim.Shape{"fumettoteca": sim.Fumettoteca, "ingenzi": sim.Ingenzi}
	_, known := fleetrun.Plans[a.Plan]
	if !strings.HasPrefix(a.Net, "127.") || net.ParseIP(a.Net+".0.1") == nil {
		fmt.Fprintln(os.Stderr, "fleet: --net must be the first two numbers of loopback addresses, such as 127.0")
		return 2
	}
	if err != nil || long > 10*time.Minute || a.Scale <= 0 || a.Scale > 1 || shapes[a.Shape] == nil || !known {
		fmt.Fprintln(os.Stderr, "fleet: unknown shape or plan, or a time or scale out of bounds; see --help")
		return 2
	}
	coord := map[string]float64{"fumettoteca": 110, "ingenzi": 60}[a.Shape] * a.Scale
	if err = os.RemoveAll(filepath.Clean(a.Dir)); err == nil {
		err = os.MkdirAll(a.Dir, 0o755)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "fleet:", err)
		return 2
	}
	shape := shapes[a.Shape](a.Scale)
	if a.Plan == "trials" {
		shape = sim.WithAlt(shape)
	}
	r, err := fleetrun.New(a.Bin, a.Dir, a.Net, shape, os.Stdout)
	if err == nil {
		r.Old, r.Seed = a.Old, a.Seed
		err = r.Up()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "fleet:", err)
		return 2
	}
	if a.Stay {
		fmt.Println("fronts:", r.Fronts())
		fmt.Println("puffinctl --at", r.Nodes[0].Host+":7003", "status")
		sig := make(chan os.Signal, 1)
		signal.Notify(sig, syscall.SIGINT, syscall.SIGTERM)
		<-sig
		r.Down()
		return 0
	}
	if !r.Go(a.Plan, long, coord) {
		return 1
	}
	return 0
}
