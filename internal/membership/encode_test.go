package membership

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// TestDiffEncodeDecode checks that decoding an encoded difference returns the same.
func TestDiffEncodeDecode(t *testing.T) {
	addr := rapid.SampledFrom([]string{"", "10.0.0.1:1", "10.0.0.1:2", "10.0.0.2:1", ":1", "h"})
	rapid.Check(t, func(t *rapid.T) {
		var d Diff
		for range rapid.IntRange(0, 6).Draw(t, "come") {
			d.Added = append(d.Added, Member{Node: rapid.String().Draw(t, "n"), Incarnation: rapid.String().Draw(t, "s"), Role: "proxy", Zone: rapid.String().Draw(t, "z"),
				InternalAddr: addr.Draw(t, "i"), APIAddr: addr.Draw(t, "o"), TrafficAddr: addr.Draw(t, "t")})
		}
		for range rapid.IntRange(0, 6).Draw(t, "gone") {
			d.Removed = append(d.Removed, rapid.String().Draw(t, "g"))
		}
		got, err := DecodeDiff(d.Encode())
		if err != nil || !reflect.DeepEqual(d, got) {
			t.Fatalf("%v came back as %v, %v", d, got, err)
		}
	})
	if _, err := DecodeDiff([]byte("no")); err == nil {
		t.Error("malformed input was decoded")
	}
}

// BenchmarkDiffEncode measures the encoding of full member lists with random incarnations.
func BenchmarkDiffEncode(b *testing.B) {
	for _, n := range []int{1000, 3000, 10000, 24000} {
		var d Diff
		for i := range n {
			host := fmt.Sprintf("10.1.%d.%d", i/200, i%200+1)
			d.Added = append(d.Added, Member{Node: fmt.Sprintf("node-%05d", i), Incarnation: fmt.Sprintf("%012x", rand.Uint64()>>16), Role: "proxy",
				Zone: fmt.Sprintf("r%dz%d", i%25%8, i%25/8), InternalAddr: host + ":7002", APIAddr: host + ":7003", TrafficAddr: host + ":8000"})
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			long := 0
			for b.Loop() {
				long = len(d.Encode())
			}
			b.ReportMetric(float64(long)/float64(n), "B/member")
		})
	}
}
