// Command store runs a replica of the configuration store of a puffincrank service mesh.
package main

import (
	"os"

	"puffincrank/internal/env"
	"puffincrank/internal/lifecycle"
	"puffincrank/internal/settings"
	"puffincrank/internal/store"

	"puffincrank/platform"
)

func main() {
	os.Exit(lifecycle.Main("store", os.Args[1:], lifecycle.Site{Settings: platform.Settings, File: platform.File, Dialect: platform.Dialect}, func(processSettings settings.Settings, environment env.Env) (lifecycle.Program, error) {
		program, err := store.New(processSettings, environment)
		if err != nil {
			return nil, err
		}
		return program, nil
	}))
}
