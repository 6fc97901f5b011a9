package hollow

import (
	"fmt"
	"math"
)

// Form is a way in which a figure may grow with the mesh.
type Form struct {
	Name string
	of   func(n float64) float64
}

// Forms from the slowest to the fastest.
var Forms = []Form{
	{"constant", func(float64) float64 { return 0 }},
	{"log n", math.Log2},
	{"sqrt n", math.Sqrt},
	{"n", func(n float64) float64 { return n }},
	{"n log n", func(n float64) float64 { return n * math.Log2(n) }},
	{"n^2", func(n float64) float64 { return n * n }},
}

// Slope is the line through the figures of several sizes.
type Slope struct {
	Form   Form
	A, B   float64 // A + B * form(n)
	Misfit float64 // the most that a figure is off the line, as a part of the largest figure
}

// At gives the line at a size.
func (s Slope) At(n float64) float64 { return s.A + s.B*s.Form.of(n) }

func (s Slope) String() string {
	if s.Form.Name == "constant" {
		return "constant"
	}
	return fmt.Sprintf("%.3g + %.3g %s", s.A, s.B, s.Form.Name)
}

// least fits one form by least squares.
func least(f Form, n, y []float64) Slope {
	var sx, sy, sxx, sxy float64
	k := float64(len(n))
	for i := range n {
		x := f.of(n[i])
		sx, sy, sxx, sxy = sx+x, sy+y[i], sxx+x*x, sxy+x*y[i]
	}
	s := Slope{Form: f}
	if d := k*sxx - sx*sx; f.Name != "constant" && d > 0 {
		s.B = (k*sxy - sx*sy) / d
	}
	s.A = (sy - s.B*sx) / k
	top := 0.0
	for _, v := range y {
		top = max(top, math.Abs(v))
	}
	if top == 0 {
		return s
	}
	for i := range n {
		s.Misfit = max(s.Misfit, math.Abs(s.At(n[i])-y[i])/top)
	}
	return s
}

// Fit finds the slowest form that fits about as well as any: within twice of
// the least misfit, or of a hundredth.
func Fit(n, y []float64) Slope {
	best := math.Inf(1)
	for _, f := range Forms {
		best = min(best, least(f, n, y).Misfit)
	}
	for _, f := range Forms {
		if s := least(f, n, y); s.Misfit <= 2*max(best, 0.005) {
			return s
		}
	}
	return Slope{Form: Forms[0]}
}
