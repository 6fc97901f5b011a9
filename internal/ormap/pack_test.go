package ormap

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"puffincrank/internal/hlc"
)

// TestPack: whatever a delta holds, its short form opens to the same.
func TestPack(t *testing.T) {
	text := rapid.OneOf(rapid.String(), rapid.SampledFrom([]string{"", "a", "a#b", "\x01", "\x01a", "10.0.0.1:7"}))
	rapid.Check(t, func(t *rapid.T) {
		dot := func() Dot {
			return Dot{text.Draw(t, "node"), hlc.Timestamp{Wall: rapid.Int64Range(-1<<50, 1<<50).Draw(t, "wall"), Count: rapid.Uint32().Draw(t, "count")}}
		}
		var d Delta
		for range rapid.IntRange(0, 5).Draw(t, "adds") {
			e := Entry{Dot: dot(), Service: text.Draw(t, "s"), Worker: text.Draw(t, "w"), Owner: text.Draw(t, "o"), InternalAddr: text.Draw(t, "i"), Zone: text.Draw(t, "z")}
			if rapid.Bool().Draw(t, "meta") {
				e.Meta = rapid.MapOf(text, text).Draw(t, "m")
			}
			d.Adds = append(d.Adds, e)
		}
		for range rapid.IntRange(0, 5).Draw(t, "dead") {
			d.Tombstones = append(d.Tombstones, Tombstone{Dot: dot(), Reason: text.Draw(t, "why"), Worker: text.Draw(t, "gone")})
		}
		got, err := d.Encode().Decode()
		if err != nil {
			t.Fatal(err)
		}
		want, is := New(), New()
		want.Merge(d)
		is.Merge(got)
		if len(got.Adds) != len(d.Adds) || len(got.Tombstones) != len(d.Tombstones) || !reflect.DeepEqual(want.live, is.live) || !reflect.DeepEqual(want.tomb, is.tomb) {
			t.Fatalf("%v came back as %v", d, got)
		}
	})
}

// TestPackBroken: what is no short form is refused.
func TestPackBroken(t *testing.T) {
	whole := Delta{Adds: []Entry{{Dot: Dot{"n#s", hlc.Timestamp{Wall: 5}}}}}.Encode().Compact
	for i := range whole {
		if d, err := (Delta{Compact: whole[:i]}).Decode(); i > 0 && err == nil {
			t.Errorf("cut at %d it gave %v", i, d)
		}
	}
}

// drawn is a mesh's entries with names and addresses as nodes have them, their
// starts and times drawn.
func drawn(n int) Delta {
	var d Delta
	for i := range n {
		own := fmt.Sprintf("node-%05d", i)
		d.Adds = append(d.Adds, Entry{Dot: Dot{fmt.Sprintf("%s#%012x", own, rand.Uint64()>>16), hlc.Timestamp{Wall: 1786000000000 + rand.Int64N(86400000)}},
			Service: fmt.Sprintf("service-%04d", i/5), Worker: own + "-w", Owner: own, InternalAddr: fmt.Sprintf("10.1.%d.%d:7002", i/200, i%200+1),
			Zone: fmt.Sprintf("r%dz%d", i%8, i%3), Meta: map[string]string{"slots": "8", "state": "up", "addr": fmt.Sprintf("10.1.%d.%d:8000", i/200, i%200+1)}})
	}
	return d
}

// TestPackSize: an entry takes a quarter of its long form at the most.
func TestPackSize(t *testing.T) {
	d := drawn(2000)
	long, _ := msgpack.Marshal(d)
	short, _ := msgpack.Marshal(d.Encode())
	t.Logf("%d and %d B for an entry", len(long)/2000, len(short)/2000)
	if 4*len(short) > len(long) {
		t.Errorf("%d B of %d", len(short), len(long))
	}
}

// BenchmarkPack is a whole map packed, and opened, at several sizes.
func BenchmarkPack(b *testing.B) {
	for _, n := range []int{1000, 3000, 10000, 24000} {
		d := drawn(n)
		short := d.Encode()
		b.Run(fmt.Sprint("pack", n), func(b *testing.B) {
			for b.Loop() {
				d.Encode()
			}
			b.ReportMetric(float64(len(short.Compact))/float64(n), "B/entry")
		})
		b.Run(fmt.Sprint("open", n), func(b *testing.B) {
			for b.Loop() {
				if _, err := short.Decode(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
