package settings

import (
	"encoding/json"

	"puffincrank/internal/fault"
	"puffincrank/internal/schema"
)

// FromValues reads the props of a program from values that another source gives
// under our names. Those that the program has no row for are left out.
func FromValues(program string, in map[string]any) (Settings, []schema.Problem, error) {
	tab := Tables[program]
	known := map[string]any{}
	for _, s := range tab.Fields {
		// Text that was not given there is left to its default.
		if v, ok := in[s.Name]; ok && v != "" {
			known[s.Name] = v
		}
	}
	raw, err := json.Marshal(known)
	if err != nil {
		return Settings{}, nil, fault.Wrap(fault.Input, err, "props")
	}
	vals, bad, err := schema.Parse(raw)
	if err != nil {
		return Settings{}, nil, fault.Wrap(fault.Input, err, "props")
	}
	v, more := tab.Read(vals, "")
	if bad = append(bad, more...); len(bad) > 0 {
		return Settings{}, bad, nil
	}
	p, bad := FromChecked(v)
	return p, bad, nil
}
