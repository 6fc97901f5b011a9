package soak

import (
	"encoding/json"
	"os"

	"puffincrank/internal/env"
	"puffincrank/internal/lifecycle"
	"puffincrank/internal/proxy"
	"puffincrank/internal/registry"
	"puffincrank/internal/settings"
	"puffincrank/internal/standin/actors"
	"puffincrank/internal/store"
)

// settingsVariable names the settings file of a member.
const settingsVariable = "SOAK_SETTINGS"

// Member runs this process as one of the mesh: the product's own program, from its
// settings file to its exit code, in the tongue of the stand-ins. False means that
// there is no such program.
func Member(program string) (code int, ok bool) {
	build := map[string]func(settings.Settings, env.Env) (lifecycle.Program, error){
		"proxy":    func(p settings.Settings, e env.Env) (lifecycle.Program, error) { return proxy.New(p, e), nil },
		"registry": func(p settings.Settings, e env.Env) (lifecycle.Program, error) { return registry.New(p, e), nil },
		"store":    func(p settings.Settings, e env.Env) (lifecycle.Program, error) { return store.New(p, e) },
	}[program]
	if build == nil {
		return 0, false
	}
	site := lifecycle.Site{Settings: readSettings, File: func() string { return os.Getenv(settingsVariable) }, Dialect: actors.Plain}
	return lifecycle.Main(program, []string{"--site"}, site, build), true
}

func readSettings(string) (map[string]any, error) {
	raw, err := os.ReadFile(os.Getenv(settingsVariable))
	if err != nil {
		return nil, err
	}
	var in map[string]any
	return in, json.Unmarshal(raw, &in)
}
