package rules

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"
)

// cpuTime returns the CPU time of this process, since on a busy machine the elapsed time mostly
// depends on other processes.
func cpuTime(t *testing.T) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// TestCostPerRoute measures a match and a compilation with 10, 100 and 1000 routes. The cost of a
// match must not grow with the number of routes, and that of a compilation only in proportion to
// it.
func TestCostPerRoute(t *testing.T) {
	var matchCost, perRoute []float64
	for _, n := range []int{10, 100, 1000} {
		var routes []string
		for i := range n {
			routes = append(routes, fmt.Sprintf(`{"name":"p%d","prefix":"/a/b/p%d","service":"s","class":"c"}`, i, i))
		}
		doc := []byte(`{"services":[{"name":"s"}],"classes":[{"name":"c","share":100}],"paths":[` + strings.Join(routes, ",") + `]}`)
		bestCompile, bestMatch := time.Hour, time.Hour
		var r *Rules
		// The best of several rounds is the least affected by other load on the machine.
		for range 7 {
			start := cpuTime(t)
			var problems any
			r, problems, _ = Compile(1, doc)
			if r == nil {
				t.Fatal(problems)
			}
			bestCompile = min(bestCompile, cpuTime(t)-start)
			start = cpuTime(t)
			for i := range 20000 {
				if r.Match("", "GET", "/a/b/p7/page/3") == nil {
					t.Fatal(i)
				}
			}
			bestMatch = min(bestMatch, (cpuTime(t)-start)/20000)
		}
		matchCost, perRoute = append(matchCost, float64(bestMatch)), append(perRoute, float64(bestCompile)/float64(n))
	}
	t.Logf("match in ns %.0f; compilation in ns per route %.0f", matchCost, perRoute)
	if matchCost[2] > 4*matchCost[0] || perRoute[2] > 4*perRoute[0] {
		t.Error("the cost of a match, or of the compilation per route, grows with the number of routes")
	}
}
