package hollow

import (
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"

	"puffincrank/internal/fault"
)

// TestPlot: a row of the unit with four sizes is drawn with a dot a size and
// its line's name; rows of other units, of the clock, with fewer sizes or with
// a zero are not. With nothing to draw an error says so and no byte is written.
func TestPlot(t *testing.T) {
	var all []Result
	for i, n := range []int{10, 20, 30, 40} {
		v := float64(n)
		r := Result{Size: Size{Nodes: n}, Rows: []Row{{"calm", "grows", "B/s", false, 3 * v}, {"calm", "other", "B", false, v}, {"calm", "timed", "B/s", true, v},
			{"calm", "nothing", "B/s", false, float64(i)}, {"calm", "falls", "B/s", false, 50 - v}, {"zone", "short", "B/s", false, v}}}
		if i == 0 {
			all = append(all, r)
			continue
		}
		r.Rows = r.Rows[:5]
		all = append(all, r)
	}
	var b strings.Builder
	if err := Plot(&b, all, "B/s", 1000); err != nil {
		t.Fatal(err)
	}
	out := b.String()
	for d := xml.NewDecoder(strings.NewReader(out)); ; {
		if _, err := d.Token(); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
	}
	for _, want := range []string{"calm: grows, ", "calm: falls, ", ">10000<", ">nodes<"} {
		if !strings.Contains(out, want) {
			t.Errorf("no %q", want)
		}
	}
	for _, none := range []string{"other", "timed", "nothing", "short", "NaN", "Inf"} {
		if strings.Contains(out, none) {
			t.Errorf("%q is drawn", none)
		}
	}
	if dots := strings.Count(out, "<circle"); dots != 8 {
		t.Errorf("%d dots, not four for each of two rows", dots)
	}
	b.Reset()
	for _, few := range [][]Result{nil, all[:3]} {
		if err := Plot(&b, few, "B/s", 1000); !fault.Is(err, fault.Input) || b.Len() > 0 {
			t.Errorf("of %d sizes: %v, %d bytes", len(few), err, b.Len())
		}
	}
}
