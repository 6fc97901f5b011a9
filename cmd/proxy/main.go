// Command proxy runs the proxy of a puffincrank service mesh.
package main

import (
	"os"

	"puffincrank/internal/env"
	"puffincrank/internal/lifecycle"
	"puffincrank/internal/proxy"
	"puffincrank/internal/settings"

	"puffincrank/platform"
)

func main() {
	os.Exit(lifecycle.Main("proxy", os.Args[1:], lifecycle.Site{Settings: platform.Settings, File: platform.File, Dialect: platform.Dialect}, func(processSettings settings.Settings, environment env.Env) (lifecycle.Program, error) {
		program := proxy.New(processSettings, environment)
		return program, nil
	}))
}
