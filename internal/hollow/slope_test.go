package hollow

import (
	"math"
	"strings"
	"testing"
)

// TestFit: the line through made figures is the one by which they were made,
// also with a little noise, and its end is near the truth.
func TestFit(t *testing.T) {
	n := []float64{125, 250, 500, 1000}
	for _, c := range []struct {
		name string
		of   func(float64) float64
	}{
		{"constant", func(float64) float64 { return 40 }},
		{"log n", func(n float64) float64 { return 3 + 50*math.Log2(n) }},
		{"n", func(n float64) float64 { return 10 + 2*n }},
		{"n^2", func(n float64) float64 { return 100 + 0.3*n*n }},
	} {
		var y []float64
		for i, v := range n {
			y = append(y, c.of(v)*(1+0.01*float64(i%2)))
		}
		s := Fit(n, y)
		if s.Form.Name != c.name || s.Misfit > 0.05 {
			t.Errorf("%s was taken for %v, misfit %.3f", c.name, s, s.Misfit)
		}
		if want := c.of(24000); math.Abs(s.At(24000)-want) > want/10 {
			t.Errorf("%s ends at %.0f, not %.0f", c.name, s.At(24000), want)
		}
	}
	if s := Fit(n, []float64{0, 0, 0, 0}); s.At(24000) != 0 || s.Misfit != 0 {
		t.Error(s)
	}
}

// TestTable: each figure has a row with all sizes; without four sizes no line
// is drawn.
func TestTable(t *testing.T) {
	var all []Result
	for _, n := range []int{10, 20, 30, 40} {
		all = append(all, Result{Size: Size{Nodes: n}, Rows: []Row{{"calm", "bytes", "B", false, float64(3 * n)}, {"calm", "time", "us", true, 7}}})
	}
	out := Table(all, 100)
	for _, want := range []string{"| calm | bytes, B | 30.0 | 60.0 | 90.0 | 120 |", "| 0 % | 300 |", "| calm | time, us | 7.00 | 7.00 | 7.00 | 7.00 | constant |"} {
		if !strings.Contains(out, want) {
			t.Errorf("no %q in\n%s", want, out)
		}
	}
	if out = Table(all[:3], 100); strings.Count(out, "too few sizes") != 2 {
		t.Error(out)
	}
}

// TestSheet: what was measured before a run was ended stands in the table, of a
// size that was not ended too.
func TestSheet(t *testing.T) {
	var s Sheet
	if got := s.Table(100); got != "" {
		t.Errorf("%q of nothing", got)
	}
	s.begin(Size{Nodes: 50})
	s.note(Row{Part: "start", Name: "one", Value: 1})
	s.note(Row{Part: "calm", Name: "two", Value: 2})
	s.begin(Size{Nodes: 70})
	s.note(Row{Part: "start", Name: "one", Value: 3})
	s.begin(Size{Nodes: 90})
	got := s.Table(100)
	for _, want := range []string{"| 50 | 70 |", "| start | one | 1.00 | 3.00 |", "| calm | two | 2.00 | |"} {
		if !strings.Contains(got, want) {
			t.Errorf("no %q in %s", want, got)
		}
	}
}
