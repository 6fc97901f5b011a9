// Command known is a test tool. It reads the output of go test -json and accepts the
// failures of the tests that are listed in a file; it prints each of them.
package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"

	"puffincrank/internal/knownfailures"
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "known: usage: go test -json ... | known LIST")
		return 2
	}
	content, err := os.ReadFile(os.Args[1])
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		fmt.Fprintln(os.Stderr, "known:", err)
		return 2
	}
	list, err := knownfailures.Read(string(content))
	if err != nil {
		fmt.Fprintf(os.Stderr, "known: %s: %v\n", os.Args[1], err)
		return 2
	}
	results, err := knownfailures.ReadRun(os.Stdin, os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "known:", err)
		return 1
	}
	if !results.Judge(list, os.Stdout) {
		return 1
	}
	return 0
}
