// Command registry runs the service registry of a puffincrank service mesh.
package main

import (
	"os"

	"puffincrank/internal/env"
	"puffincrank/internal/lifecycle"
	"puffincrank/internal/registry"
	"puffincrank/internal/settings"

	"puffincrank/platform"
)

func main() {
	os.Exit(lifecycle.Main("registry", os.Args[1:], lifecycle.Site{Settings: platform.Settings, File: platform.File, Dialect: platform.Dialect}, func(processSettings settings.Settings, environment env.Env) (lifecycle.Program, error) {
		program := registry.New(processSettings, environment)
		return program, nil
	}))
}
