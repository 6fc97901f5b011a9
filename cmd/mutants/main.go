// Command mutants is a test program: it lays each small breakage of product
// code over the build, runs the test that must catch it and reports.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alexflint/go-arg"

	"puffincrank/internal/mutant"
	"puffincrank/internal/task"
)

type args struct {
	Root string   `arg:"--root" default:"." help:"the module's folder"`
	At   int      `arg:"--at-once" default:"3" help:"how many run at once"`
	List bool     `arg:"--list" help:"list them and run nothing"`
	Name []string `arg:"positional" help:"names or promises; all when left out"`
}

func main() { os.Exit(run()) }

func run() int {
	var a args
	arg.MustParse(&a)
	list, err := mutant.Named(a.Name)
	if err != nil || a.At < 1 || a.At > 16 {
		fmt.Fprintln(os.Stderr, "mutants:", err, "- see --list and --help")
		return 2
	}
	if a.List {
		for _, m := range list {
			fmt.Printf("%-22s %-60s %s %s\n", m.Name, m.Promise, m.Pkg, m.Test)
		}
		return 0
	}
	dir, err := os.MkdirTemp("", "mutants")
	if err != nil {
		fmt.Fprintln(os.Stderr, "mutants:", err)
		return 2
	}
	defer func() { _ = os.RemoveAll(dir) }()
	g := task.New(context.Background())
	results := make(chan mutant.Result)
	seats := make(chan struct{}, a.At)
	for _, m := range list {
		g.Go("mutant", func(ctx context.Context) {
			seats <- struct{}{}
			defer func() { <-seats }()
			results <- m.Try(ctx, a.Root, dir)
		})
	}
	missed := 0
	fmt.Println("| mutant | promise | caught | by | s |\n| --- | --- | --- | --- | --- |")
	for range list {
		r := <-results
		word := "yes"
		if !r.Caught {
			missed++
			word = "**no**: " + r.Say
		}
		fmt.Printf("| %s | %s | %s | %s %s | %.0f |\n", r.Name, r.Promise, word, r.Pkg, r.Test, r.Took.Round(time.Second).Seconds())
	}
	g.Stop()
	fmt.Printf("\n%d mutants, %d missed\n", len(list), missed)
	if missed > 0 {
		return 1
	}
	return 0
}
