// Command proxy runs the proxy of a puffincrank mesh.
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
	os.Exit(lifecycle.Main("proxy", os.Args[1:], lifecycle.Site{Settings: platform.Settings, File: platform.File, Dialect: platform.Dialect}, func(p0 settings.Settings, e env.Env) (lifecycle.Program, error) {
		p := proxy.New(p0, e)
		return p, nil
	}))
}
