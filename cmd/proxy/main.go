// Command proxy runs the proxy of a puffincrank mesh.
package main

import (
	"os"

	"puffincrank/internal/env"
	"puffincrank/internal/props"
	"puffincrank/internal/proxy"
	"puffincrank/internal/run"

	"puffincrank/platform"
)

func main() {
	os.Exit(run.Main("proxy", os.Args[1:], run.Site{Settings: platform.Settings, File: platform.File, Tongue: platform.Tongue}, func(p0 props.Props, e env.Env) (run.Program, error) {
		p := proxy.New(p0, e)
		return p, nil
	}))
}
