// Command soak is a test program: it runs a mesh of real processes on loopback
// addresses under series of overlapping troubles, drawn by a seed, and ends with a
// report; its exit code is 1 when something was seen that must not be.
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
	Seed    uint64  `arg:"--seed" default:"1" help:"the same seed draws the same troubles"`
	Minutes float64 `arg:"--minutes" default:"1" help:"how long troubles are begun, 60 at the most"`
	Size    int     `arg:"--size" default:"12" help:"machines with a node and a worker, 6 to 300"`
	Net     string  `arg:"--net" default:"127.0" help:"what all addresses begin with, on loopback"`
	Dir     string  `arg:"--dir" default:"run/soak" help:"where settings, logs and data go; made anew"`
}

func main() { os.Exit(run()) }

func run() int {
	// The members of the mesh are this program, too.
	if len(os.Args) == 2 {
		if code, ok := soak.Member(os.Args[1]); ok {
			return code
		}
	}
	var a args
	arg.MustParse(&a)
	if !strings.HasPrefix(a.Net, "127.") || net.ParseIP(a.Net+".0.1") == nil || a.Minutes <= 0 || a.Minutes > 60 || a.Size < 6 || a.Size > 300 {
		fmt.Fprintln(os.Stderr, "soak: a size, a time or addresses out of bounds; see --help")
		return 2
	}
	dir, err := filepath.Abs(a.Dir)
	if err == nil {
		err = os.RemoveAll(dir)
	}
	program, err2 := os.Executable()
	if err != nil || err2 != nil {
		fmt.Fprintln(os.Stderr, "soak:", err, err2)
		return 2
	}
	ok, err := soak.Run(soak.Options{Seed: a.Seed, Size: a.Size, Long: time.Duration(a.Minutes * float64(time.Minute)), Dir: dir, Program: program, Net: a.Net, Out: os.Stdout})
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return 2
	}
	if !ok {
		return 1
	}
	return 0
}
