// Command hollow is a test program: it runs meshes of several sizes in this one
// process, without jobs and in virtual time, and prints what each role says,
// holds and computes at each size, and the line through the sizes.
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"testing"
	"time"

	"github.com/alexflint/go-arg"

	"puffincrank/internal/hollow"
)

type args struct {
	Sizes  []int    `arg:"--sizes" help:"nodes of each mesh, 12 to 24000; four sizes make a slope [default: 125 250 500 1000]"`
	Areas  int      `arg:"--areas" default:"25" help:"areas that the nodes lie in, 2 to 64"`
	Each   int      `arg:"--each" default:"686" help:"sessions of one control node at the most"`
	Change string   `arg:"--change" default:"2s" help:"bound on a change; beats are a tenth of it"`
	Acts   []string `arg:"--acts" help:"of start, calm, restart, change, zone, control, dark, crowd and region those that are run; others need start and calm [default: all]"`
	Seed   uint64   `arg:"--seed" default:"1" help:"draws who fails"`
	Target int      `arg:"--target" default:"24000" help:"the size that the lines are drawn to"`
	Cores  int      `arg:"--cores" default:"4" help:"processor cores used, 16 at the most"`
	Memory int      `arg:"--memory" default:"12" help:"GB of memory used, 16 at the most"`
	Plot   string   `arg:"--plot" help:"an SVG file for the rows of one unit; four sizes at the least"`
	Unit   string   `arg:"--unit" default:"B/s" help:"the unit of the rows that are drawn"`
	Bound  string   `arg:"--bound" default:"30m" help:"the run ends after this, whatever is left"`
}

func main() {
	var a args
	arg.MustParse(&a)
	if len(a.Sizes) == 0 {
		a.Sizes = []int{125, 250, 500, 1000}
	}
	change, err := time.ParseDuration(a.Change)
	bound, err2 := time.ParseDuration(a.Bound)
	ok := err == nil && err2 == nil && a.Areas >= 2 && a.Areas <= 64 && a.Each > 0 && a.Cores > 0 && a.Cores <= 16 && a.Memory > 0 && a.Memory <= 16 && change >= 200*time.Millisecond && change <= time.Minute
	for _, n := range a.Sizes {
		ok = ok && n >= 12 && n <= 24000
	}
	if !ok {
		fmt.Fprintln(os.Stderr, "hollow: a size or bound is out of range; see --help")
		os.Exit(2)
	}
	runtime.GOMAXPROCS(a.Cores)
	debug.SetMemoryLimit(int64(a.Memory) << 30)
	var sheet hollow.Sheet
	// What was measured is told however the run ends.
	end := func(why string) {
		fmt.Print(sheet.Table(float64(a.Target)))
		fmt.Fprintln(os.Stderr, "hollow: "+why)
		os.Exit(3)
	}
	stop := time.AfterFunc(bound, func() { end("the bound on the run is over") })
	ctx, off := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer off()
	context.AfterFunc(ctx, func() { end("ended by a signal") })
	defer stop.Stop()
	// Virtual time is to be had inside of a test only; the test's own flags are
	// not for users.
	os.Args = os.Args[:1]
	testing.Main(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{{Name: "hollow", F: func(t *testing.T) { run(t, a, change, &sheet) }}}, nil, nil)
}

func run(t *testing.T, a args, change time.Duration, sheet *hollow.Sheet) {
	p := hollow.Plan{Areas: a.Areas, Each: a.Each, Change: change, Seed: a.Seed, Acts: a.Acts, Say: func(s string) { fmt.Fprintln(os.Stderr, s) }, Sheet: sheet}
	for _, n := range a.Sizes {
		r := p.One(t, n)
		if r.Err != nil {
			fmt.Fprintf(os.Stderr, "hollow: %d nodes: %v\n", n, r.Err)
			t.Fail()
		}
		debug.FreeOSMemory()
	}
	fmt.Print(sheet.Table(float64(a.Target)))
	if a.Plot == "" {
		return
	}
	if err := draw(a, sheet); err != nil {
		fmt.Fprintf(os.Stderr, "hollow: no plot: %v\n", err)
		t.Fail()
	}
}

// draw writes the plot; what was there under that name is lost.
func draw(a args, sheet *hollow.Sheet) error {
	var b bytes.Buffer
	if err := sheet.Plot(&b, a.Unit, float64(a.Target)); err != nil {
		return err
	}
	return os.WriteFile(a.Plot, b.Bytes(), 0o644)
}
