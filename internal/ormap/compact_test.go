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

// TestEncodeDecode checks that decoding an encoded delta returns the same contents.
func TestEncodeDecode(t *testing.T) {
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
		roundTrip, err := d.Encode().Decode()
		if err != nil {
			t.Fatal(err)
		}
		original, decoded := New(), New()
		original.Merge(d)
		decoded.Merge(roundTrip)
		if len(roundTrip.Adds) != len(d.Adds) || len(roundTrip.Tombstones) != len(d.Tombstones) || !reflect.DeepEqual(original.live, decoded.live) || !reflect.DeepEqual(original.tombstonedHashes, decoded.tombstonedHashes) {
			t.Fatalf("%v came back as %v", d, roundTrip)
		}
	})
}

// TestDecodeTruncated checks that a truncated encoding is rejected.
func TestDecodeTruncated(t *testing.T) {
	encoded := Delta{Adds: []Entry{{Dot: Dot{"n#s", hlc.Timestamp{Wall: 5}}}}}.Encode().Compact
	for i := range encoded {
		if d, err := (Delta{Compact: encoded[:i]}).Decode(); i > 0 && err == nil {
			t.Errorf("truncated to %d bytes it decoded to %v", i, d)
		}
	}
}

// randomDelta returns the entries of a cluster of n nodes, with typical names and addresses
// and random incarnations and times.
func randomDelta(n int) Delta {
	var d Delta
	for i := range n {
		node := fmt.Sprintf("node-%05d", i)
		d.Adds = append(d.Adds, Entry{Dot: Dot{fmt.Sprintf("%s#%012x", node, rand.Uint64()>>16), hlc.Timestamp{Wall: 1786000000000 + rand.Int64N(86400000)}},
			Service: fmt.Sprintf("service-%04d", i/5), Worker: node + "-w", Owner: node, InternalAddr: fmt.Sprintf("10.1.%d.%d:7002", i/200, i%200+1),
			Zone: fmt.Sprintf("r%dz%d", i%8, i%3), Meta: map[string]string{"slots": "8", "state": "up", "addr": fmt.Sprintf("10.1.%d.%d:8000", i/200, i%200+1)}})
	}
	return d
}

// TestEncodedSize checks that the compact form is at most a quarter of the full size.
func TestEncodedSize(t *testing.T) {
	d := randomDelta(2000)
	full, _ := msgpack.Marshal(d)
	compact, _ := msgpack.Marshal(d.Encode())
	t.Logf("%d B per entry in full, %d B in compact form", len(full)/2000, len(compact)/2000)
	if 4*len(compact) > len(full) {
		t.Errorf("compact form has %d B, full form %d B", len(compact), len(full))
	}
}

// BenchmarkEncodeDecode measures encoding and decoding of full maps of several sizes.
func BenchmarkEncodeDecode(b *testing.B) {
	for _, n := range []int{1000, 3000, 10000, 24000} {
		d := randomDelta(n)
		compact := d.Encode()
		b.Run(fmt.Sprint("pack", n), func(b *testing.B) {
			for b.Loop() {
				d.Encode()
			}
			b.ReportMetric(float64(len(compact.Compact))/float64(n), "B/entry")
		})
		b.Run(fmt.Sprint("open", n), func(b *testing.B) {
			for b.Loop() {
				if _, err := compact.Decode(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
