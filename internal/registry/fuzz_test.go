package registry

import (
	"testing"

	"puffincrank/internal/schema"
)

// FuzzBodies: whatever body an application's call has, it is refused with a
// place for each fault, or what is read of it is within its bounds.
func FuzzBodies(f *testing.F) {
	for _, s := range []string{`{"owner":"a","ttl_ms":0.5,"fence":3}`, `{"owner":"a","ttl_ms":3000}`, `{"value":"x","if_rev":0}`, `{}`, `{"owner":"a","owner":"b"}`, `{"ttl_ms":1e99,"fence":1.0}`} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, raw string) {
		in, twice, err := schema.Parse([]byte(raw))
		if err != nil {
			return
		}
		for _, tab := range []schema.Table{AcquireLockTable, RenewLockTable, ReleaseLockTable, NextNumberTable, PutGroupKeyTable} {
			v, bad := tab.ReadKnown(in, "")
			for _, b := range append(bad, twice...) {
				// The place of a name that is empty is empty too.
				if _, empty := in[""]; b.Place == "" && !empty || b.Message == "" {
					t.Errorf("%s: a fault without its place: %+v", tab.Name, b)
				}
			}
			if len(bad) > 0 {
				continue
			}
			for _, row := range tab.Fields {
				got, is := v[row.Name]
				if !is && row.Required {
					t.Errorf("%s: %s is missing", tab.Name, row.Name)
				}
				if is && row.Check != nil && row.Check(got) != nil {
					t.Errorf("%s: %s is %v", tab.Name, row.Name, got)
				}
			}
			if ms := appTime(v); tab.Name != PutGroupKeyTable.Name && v["ttl_ms"] != nil && (ms < 1 || ms > 86400000) {
				t.Errorf("a time of %d ms", ms)
			}
			if _, is := v["fence"]; is && uint64(v.Count("fence")) == 0 {
				t.Error("a fence of nothing")
			}
		}
	})
}
