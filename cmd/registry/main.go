// Command registry runs the registry of a puffincrank mesh.
package main

import (
	"os"

	"puffincrank/internal/env"
	"puffincrank/internal/props"
	"puffincrank/internal/registry"
	"puffincrank/internal/run"

	"puffincrank/platform"
)

func main() {
	os.Exit(run.Main("registry", os.Args[1:], run.Site{Settings: platform.Settings, File: platform.File, Tongue: platform.Tongue}, func(p0 props.Props, e env.Env) (run.Program, error) {
		p := registry.New(p0, e)
		return p, nil
	}))
}
