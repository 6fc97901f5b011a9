package hollow

import (
	"fmt"
	"io"
	"math"

	"github.com/wcharczuk/go-chart/v2"
	"github.com/wcharczuk/go-chart/v2/drawing"

	"puffincrank/internal/fault"
)

// Steps that each line is drawn in, from the least size to the target.
const pace = 40

// Plot draws the rows of one unit as SVG: what was measured as dots, the line
// through it as far as the target, both axes by powers of ten. Rows without
// four sizes, of the machine's clock, or with a figure that is not above zero
// are left out. Errors: Input when nothing is left to draw, or the writer's own.
func Plot(to io.Writer, all []Result, unit string, target float64) error {
	c := chart.Chart{Title: unit + " by nodes; dots are measured, lines go on to the target", TitleStyle: chart.Style{FontSize: 11}, Width: 1100, Height: 640,
		Background: chart.Style{Padding: chart.Box{Top: 50, Left: 390, Right: 20, Bottom: 20}}}
	low, high, first := math.Inf(1), math.Inf(-1), target
	for i := range rows(all) {
		w := all[0].Rows[i]
		n, y := points(all, i)
		if w.Unit != unit || w.Clock || len(n) < 4 {
			continue
		}
		s, tone := Fit(n, y), chart.GetDefaultColor(len(c.Series)/2)
		var at, line []float64
		for k := 0; k <= pace; k++ {
			v := n[0] * math.Pow(target/n[0], float64(k)/pace)
			// A line that falls may end below zero, where no power of ten is.
			if e := s.At(v); e > 0 {
				at, line = append(at, v), append(line, e)
			}
		}
		for _, v := range append(append([]float64(nil), line...), y...) {
			low, high = min(low, v), max(high, v)
		}
		first = min(first, n[0])
		c.Series = append(c.Series, chart.ContinuousSeries{Name: fmt.Sprintf("%s: %s, %s", w.Part, w.Name, s), XValues: powers(at), YValues: powers(line), Style: chart.Style{StrokeColor: tone, StrokeWidth: 1.5}},
			chart.ContinuousSeries{XValues: powers(n), YValues: powers(y), Style: chart.Style{StrokeColor: drawing.ColorTransparent, StrokeWidth: 1, DotColor: tone, DotWidth: 4}})
	}
	if len(c.Series) == 0 {
		return fault.New(fault.Input, "no row of unit %q has four sizes above zero", unit)
	}
	x, xs := axis(first, target)
	y, ys := axis(low, high)
	c.XAxis = chart.XAxis{Name: "nodes", Range: x, Ticks: xs}
	c.YAxis = chart.YAxis{Name: unit, Range: y, Ticks: ys}
	c.Elements = []chart.Renderable{chart.LegendLeft(&c)}
	return c.Render(chart.SVG, to)
}

// rows gives the rows of the first result, which those of others follow.
func rows(all []Result) []Row {
	if len(all) == 0 {
		return nil
	}
	return all[0].Rows
}

// points gives the sizes and figures of one row, none if one is not above zero.
func points(all []Result, i int) (n, y []float64) {
	for _, r := range all {
		if i >= len(r.Rows) {
			continue
		}
		if r.Rows[i].Value <= 0 {
			return nil, nil
		}
		n, y = append(n, float64(r.Size.Nodes)), append(y, r.Rows[i].Value)
	}
	return n, y
}

// powers gives each value as a power of ten.
func powers(of []float64) []float64 {
	var all []float64
	for _, v := range of {
		all = append(all, math.Log10(v))
	}
	return all
}

// axis spans two values by whole powers of ten.
func axis(low, high float64) (*chart.ContinuousRange, []chart.Tick) {
	a, b := math.Floor(math.Log10(low)), math.Ceil(math.Log10(high))
	if a == b {
		b++
	}
	var all []chart.Tick
	for v := a; v <= b; v++ {
		all = append(all, chart.Tick{Value: v, Label: fmt.Sprintf("%.15g", math.Pow(10, v))})
	}
	return &chart.ContinuousRange{Min: a, Max: b}, all
}
