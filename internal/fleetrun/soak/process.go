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

// settingsEnvVar holds the path of the settings file of a process.
const settingsEnvVar = "SOAK_SETTINGS"

// RunProcess runs this process as a program of the product, from its settings file to its
// exit code, with the dialect of the simulated actors. It returns false if there is no such
// program.
func RunProcess(program string) (code int, ok bool) {
	build := map[string]func(settings.Settings, env.Env) (lifecycle.Program, error){
		"proxy":    func(p settings.Settings, e env.Env) (lifecycle.Program, error) { return proxy.New(p, e), nil },
		"registry": func(p settings.Settings, e env.Env) (lifecycle.Program, error) { return registry.New(p, e), nil },
		"store":    func(p settings.Settings, e env.Env) (lifecycle.Program, error) { return store.New(p, e) },
	}[program]
	if build == nil {
		return 0, false
	}
	site := lifecycle.Site{Settings: readSettings, File: func() string { return os.Getenv(settingsEnvVar) }, Dialect: actors.PlainDialect}
	return lifecycle.Main(program, []string{"--site"}, site, build), true
}

func readSettings(string) (map[string]any, error) {
	content, err := os.ReadFile(os.Getenv(settingsEnvVar))
	if err != nil {
		return nil, err
	}
	var values map[string]any
	return values, json.Unmarshal(content, &values)
}
