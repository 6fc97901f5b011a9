// Command mutants is a test tool for mutation testing. It builds the product with each
// small fault applied through an overlay, runs the test that must detect it, and prints
// a table of the results.
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
	Root     string   `arg:"--root" default:"." help:"the module's folder"`
	Parallel int      `arg:"--at-once" default:"3" help:"how many run at once"`
	List     bool     `arg:"--list" help:"list them and run nothing"`
	Name     []string `arg:"positional" help:"names or promises; all when left out"`
}

func main() { os.Exit(run()) }

func run() int {
	var options args
	arg.MustParse(&options)
	list, err := mutant.Select(options.Name)
	if err != nil || options.Parallel < 1 || options.Parallel > 16 {
		fmt.Fprintln(os.Stderr, "mutants:", err, "- see --list and --help")
		return 2
	}
	if options.List {
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
	tasks := task.New(context.Background())
	results := make(chan mutant.Result)
	slots := make(chan struct{}, options.Parallel)
	for _, m := range list {
		tasks.Go("mutant", func(ctx context.Context) {
			slots <- struct{}{}
			defer func() { <-slots }()
			results <- m.Run(ctx, options.Root, dir)
		})
	}
	missed := 0
	fmt.Println("| mutant | promise | caught | by | s |\n| --- | --- | --- | --- | --- |")
	for range list {
		result := <-results
		caught := "yes"
		if !result.Caught {
			missed++
			caught = "**no**: " + result.Message
		}
		fmt.Printf("| %s | %s | %s | %s %s | %.0f |\n", result.Name, result.Promise, caught, result.Pkg, result.Test, result.Took.Round(time.Second).Seconds())
	}
	tasks.Stop()
	fmt.Printf("\n%d mutants, %d missed\n", len(list), missed)
	if missed > 0 {
		return 1
	}
	return 0
}
