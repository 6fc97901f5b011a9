// Command store runs the store of a puffincrank mesh.
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
	os.Exit(lifecycle.Main("store", os.Args[1:], lifecycle.Site{Settings: platform.Settings, File: platform.File, Dialect: platform.Dialect}, func(p0 settings.Settings, e env.Env) (lifecycle.Program, error) {
		p, err := store.New(p0, e)
		if err != nil {
			return nil, err
		}
		return p, nil
	}))
}
