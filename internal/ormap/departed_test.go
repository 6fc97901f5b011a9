package ormap

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"puffincrank/internal/hlc"
)

// TestDepartedNeverLive guards against an entry of a worker that has left for good: one that came
// with a new dot, before or after the departure, stayed live beside it. Whatever the order of the
// deltas, such an entry is not live, and replicas that have seen the same agree.
func TestDepartedNeverLive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := hlc.New(time.Now, time.Second)
		dot := func(node string) Dot { return Dot{Node: node, Stamp: clock.Now()} }
		var deltas []Delta
		var entries []Entry
		for range rapid.IntRange(1, 6).Draw(t, "entries") {
			worker := rapid.SampledFrom([]string{"w", "v"}).Draw(t, "worker")
			e := Entry{Dot: dot(rapid.SampledFrom([]string{"n#1", "n#2"}).Draw(t, "life")), Service: "s", Worker: worker, Owner: "n"}
			entries = append(entries, e)
			deltas = append(deltas, Delta{Adds: []Entry{e}})
		}
		observed := entries[rapid.IntRange(0, len(entries)-1).Draw(t, "observed")]
		departure := Tombstone{Dot: dot("n#1"), Reason: "signed off", Worker: "w"}
		if observed.Worker == "w" {
			departure.Dot = observed.Dot
			// The same dot may have been removed for another reason, too.
			deltas = append(deltas, Delta{Tombstones: []Tombstone{{Dot: observed.Dot, Reason: "retired"}}})
		}
		deltas = append(deltas, Delta{Tombstones: []Tombstone{departure}})
		one, other := New(), New()
		for _, d := range rapid.Permutation(deltas).Draw(t, "order") {
			one.Merge(d)
			checkDepartures(t, one)
		}
		for _, d := range rapid.Permutation(deltas).Draw(t, "other order") {
			other.Merge(d)
		}
		if !reflect.DeepEqual(one.Digests(), other.Digests()) {
			t.Fatalf("replicas differ after the same deltas: %v and %v", one.Live(nil), other.Live(nil))
		}
		for _, e := range entries {
			if live := len(one.Live(func(l Entry) bool { return l.Dot == e.Dot })) > 0; live && e.Worker == "w" || !live && e.Worker == "v" && e.Dot != observed.Dot {
				t.Fatalf("entry %+v is live: %v", e, live)
			}
		}
		one.Clear(func(Entry) bool { return true })
		if !one.Departed("w") {
			t.Fatal("the departure was cleared")
		}
	})
}

func checkDepartures(t *rapid.T, m *Map) {
	for _, e := range m.Live(nil) {
		if m.Departed(e.Worker) {
			t.Fatalf("%+v is live although its worker has left", e)
		}
	}
}
