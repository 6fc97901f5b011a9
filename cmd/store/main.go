// Command store runs the store of a puffincrank mesh.
package main

import (
	"os"

	"puffincrank/internal/env"
	"puffincrank/internal/props"
	"puffincrank/internal/run"
	"puffincrank/internal/store"

	"puffincrank/platform"
)

func main() {
	os.Exit(run.Main("store", os.Args[1:], run.Site{Settings: platform.Settings, File: platform.File, Tongue: platform.Tongue}, func(p0 props.Props, e env.Env) (run.Program, error) {
		p, err := store.New(p0, e)
		if err != nil {
			return nil, err
		}
		return p, nil
	}))
}
