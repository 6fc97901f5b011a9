// Command soak is a test program. It runs a cluster of real processes on loopback addresses
// under overlapping faults and operations, drawn from a seed, and prints a report. Its exit
// code is 1 if a guarantee was violated.
package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/alexflint/go-arg"

	"puffincrank/internal/fleetrun/soak"
)

type args struct {
	Seed          uint64  `arg:"--seed" default:"1" help:"the same seed draws the same troubles"`
	Minutes       float64 `arg:"--minutes" default:"1" help:"how long troubles are begun, 60 at the most"`
	Size          int     `arg:"--size" default:"12" help:"machines with a node and a worker, 6 to 300"`
	AddressPrefix string  `arg:"--net" default:"127.0" help:"what all addresses begin with, on loopback"`
	Dir           string  `arg:"--dir" default:"run/soak" help:"where settings, logs and data go; made anew"`
}

func main() { os.Exit(run()) }

func run() int {
	// This program also runs as the processes of the cluster.
	if len(os.Args) == 2 {
		if code, ok := soak.RunProcess(os.Args[1]); ok {
			return code
		}
	}
	var options args
	arg.MustParse(&options)
	if !strings.HasPrefix(options.AddressPrefix, "127.") || net.ParseIP(options.AddressPrefix+".0.1") == nil || options.Minutes <= 0 || options.Minutes > 60 || options.Size < 6 || options.Size > 300 {
		fmt.Fprintln(os.Stderr, "soak: a size, a time or addresses out of bounds; see --help")
		return 2
	}
	dir, err := filepath.Abs(options.Dir)
	if err == nil {
		err = os.RemoveAll(dir)
	}
	program, programErr := os.Executable()
	if err != nil || programErr != nil {
		fmt.Fprintln(os.Stderr, "soak:", err, programErr)
		return 2
	}
	ok, err := soak.Run(soak.Options{Seed: options.Seed, Machines: options.Size, Duration: time.Duration(options.Minutes * float64(time.Minute)), Dir: dir, Program: program, AddressPrefix: options.AddressPrefix, Out: os.Stdout})
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return 2
	}
	if !ok {
		return 1
	}
	return 0
}
