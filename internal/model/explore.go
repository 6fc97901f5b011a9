package model

import (
	"math/rand/v2"
)

// Result is the outcome of an exploration.
type Result struct {
	States, Depth int
	Complete      bool // every state within the budgets was visited
	Violation     string
	Trace         []string // the steps to the violation; the shortest such sequence if found by Explore
}

// visit records how a state was first reached.
type visit struct {
	parent int32
	depth  int32
	step   step
}

// Explore searches the states breadth first, up to a limit on their number, and stops
// at the first that violates an invariant. No shorter sequence of steps leads to a
// violation.
func Explore(config Config, defect Defect, limit int) Result {
	r := &rules{config, defect}
	start := initialState(config)
	known := map[State]struct{}{start: {}}
	states, visits := []State{start}, []visit{{parent: -1}}
	var result Result
	for index := 0; index < len(states); index++ {
		result.Depth = int(visits[index].depth)
		if violation := r.check(&states[index]); violation != "" {
			result.Violation, result.Trace, result.States = violation, stepsTo(visits, index), len(states)
			return result
		}
		if len(states) >= limit {
			continue
		}
		for _, m := range r.transitions(&states[index]) {
			if _, ok := known[m.state]; ok {
				continue
			}
			known[m.state] = struct{}{}
			states = append(states, m.state)
			visits = append(visits, visit{int32(index), visits[index].depth + 1, m.step})
		}
	}
	result.States, result.Complete = len(states), len(states) < limit
	return result
}

// stepsTo returns descriptions of the steps that lead to a state.
func stepsTo(visits []visit, index int) (steps []string) {
	for ; visits[index].parent >= 0; index = int(visits[index].parent) {
		steps = append([]string{visits[index].step.String()}, steps...)
	}
	return steps
}

// Walk takes random sequences of steps, for configurations with too many states to
// search exhaustively.
func Walk(config Config, defect Defect, seed uint64, walks, steps int) Result {
	r := &rules{config, defect}
	random := rand.New(rand.NewPCG(seed, 1))
	var result Result
	for range walks {
		s := initialState(config)
		var taken []string
		for range steps {
			transitions := r.transitions(&s)
			if len(transitions) == 0 {
				break
			}
			m := transitions[random.IntN(len(transitions))]
			s, taken = m.state, append(taken, m.step.String())
			result.States++
			result.Depth = max(result.Depth, len(taken))
			if violation := r.check(&s); violation != "" {
				result.Violation, result.Trace = violation, taken
				return result
			}
		}
	}
	return result
}
