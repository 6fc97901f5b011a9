package model

import (
	"math/rand/v2"
)

// Result is what an exploration found.
type Result struct {
	States, Depth int
	Complete      bool // every state within the budgets was seen
	Fault         string
	Trace         []string // the shortest row of steps to the fault
}

// seen is how a state was first reached.
type seen struct {
	from  int32
	depth int32
	label label
}

// Explore searches all states breadth first, up to so many of them, and stops at
// the first that breaks an invariant: no shorter row of steps leads to one.
func Explore(c Config, breach Breach, most int) Result {
	r := &rules{c, breach}
	start := first(c)
	known := map[State]struct{}{start: {}}
	states, ways := []State{start}, []seen{{from: -1}}
	var out Result
	for at := 0; at < len(states); at++ {
		out.Depth = int(ways[at].depth)
		if fault := r.check(&states[at]); fault != "" {
			out.Fault, out.Trace, out.States = fault, path(ways, at), len(states)
			return out
		}
		if len(states) >= most {
			continue
		}
		for _, m := range r.next(&states[at]) {
			if _, ok := known[m.state]; ok {
				continue
			}
			known[m.state] = struct{}{}
			states = append(states, m.state)
			ways = append(ways, seen{int32(at), ways[at].depth + 1, m.label})
		}
	}
	out.States, out.Complete = len(states), len(states) < most
	return out
}

// path gives the steps that lead to a state.
func path(ways []seen, at int) (out []string) {
	for ; ways[at].from >= 0; at = int(ways[at].from) {
		out = append([]string{ways[at].label.String()}, out...)
	}
	return out
}

// Walk takes random rows of steps, for sizes that can't be searched whole.
func Walk(c Config, breach Breach, seed uint64, walks, steps int) Result {
	r := &rules{c, breach}
	rnd := rand.New(rand.NewPCG(seed, 1))
	var out Result
	for range walks {
		s := first(c)
		var names []string
		for range steps {
			all := r.next(&s)
			if len(all) == 0 {
				break
			}
			m := all[rnd.IntN(len(all))]
			s, names = m.state, append(names, m.label.String())
			out.States++
			out.Depth = max(out.Depth, len(names))
			if fault := r.check(&s); fault != "" {
				out.Fault, out.Trace = fault, names
				return out
			}
		}
	}
	return out
}
