package registry

import (
	"testing"

	"puffincrank/internal/schema"
)

// FuzzBodies checks that any body of an application's call is either refused, with a place
// for each problem, or read into values within their bounds.
func FuzzBodies(f *testing.F) {
	for _, body := range []string{`{"owner":"a","ttl_ms":0.5,"fence":3}`, `{"owner":"a","ttl_ms":3000}`, `{"value":"x","if_rev":0}`, `{}`, `{"owner":"a","owner":"b"}`, `{"ttl_ms":1e99,"fence":1.0}`} {
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, raw string) {
		input, duplicates, err := schema.Parse([]byte(raw))
		if err != nil {
			return
		}
		for _, table := range []schema.Table{AcquireLockTable, RenewLockTable, ReleaseLockTable, NextNumberTable, PutGroupKeyTable} {
			fields, problems := table.ReadKnown(input, "")
			for _, problem := range append(problems, duplicates...) {
				// The place of a field with an empty name is empty too.
				if _, empty := input[""]; problem.Place == "" && !empty || problem.Message == "" {
					t.Errorf("%s: a problem without place or message: %+v", table.Name, problem)
				}
			}
			if len(problems) > 0 {
				continue
			}
			for _, field := range table.Fields {
				value, present := fields[field.Name]
				if !present && field.Required {
					t.Errorf("%s: %s is missing", table.Name, field.Name)
				}
				if present && field.Check != nil && field.Check(value) != nil {
					t.Errorf("%s: %s is %v", table.Name, field.Name, value)
				}
			}
			if millis := ttlMillis(fields); table.Name != PutGroupKeyTable.Name && fields["ttl_ms"] != nil && (millis < 1 || millis > 86400000) {
				t.Errorf("time to live of %d ms is out of bounds", millis)
			}
			if _, present := fields["fence"]; present && uint64(fields.Count("fence")) == 0 {
				t.Error("fence is 0")
			}
		}
	})
}
