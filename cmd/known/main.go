// Command known is a test program: it reads what go test -json says and passes
// over the failures of the tests listed in a file, which it names.
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
	raw, err := os.ReadFile(os.Args[1])
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		fmt.Fprintln(os.Stderr, "known:", err)
		return 2
	}
	list, err := knownfailures.Read(string(raw))
	if err != nil {
		fmt.Fprintf(os.Stderr, "known: %s: %v\n", os.Args[1], err)
		return 2
	}
	got, err := knownfailures.ReadRun(os.Stdin, os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "known:", err)
		return 1
	}
	if !got.Judge(list, os.Stdout) {
		return 1
	}
	return 0
}
