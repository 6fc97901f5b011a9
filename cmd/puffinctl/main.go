// Command puffinctl is the command line client for operators.
package main

import (
	"os"

	"puffincrank/internal/ctl"
)

func main() { os.Exit(ctl.Main(os.Args[1:], os.Stdout, os.Stderr)) }
