package settings

import (
	"encoding/json"

	"puffincrank/internal/fault"
	"puffincrank/internal/schema"
)

// FromValues builds the settings of a program from values that another source provides under the
// outer names. Values for which the program has no setting are ignored.
func FromValues(program string, values map[string]any) (Settings, []schema.Problem, error) {
	table := Tables[program]
	known := map[string]any{}
	for _, field := range table.Fields {
		// An empty text means that the setting was not given; its default applies.
		if value, ok := values[field.Name]; ok && value != "" {
			known[field.Name] = value
		}
	}
	raw, err := json.Marshal(known)
	if err != nil {
		return Settings{}, nil, fault.Wrap(fault.Input, err, "props")
	}
	parsed, problems, err := schema.Parse(raw)
	if err != nil {
		return Settings{}, nil, fault.Wrap(fault.Input, err, "props")
	}
	checked, found := table.Read(parsed, "")
	if problems = append(problems, found...); len(problems) > 0 {
		return Settings{}, problems, nil
	}
	settings, problems := FromChecked(checked)
	return settings, problems, nil
}
