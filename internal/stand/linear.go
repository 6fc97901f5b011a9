package stand

import (
	"math"
	"sort"
	"time"
)

// Op is one call on one key, as its caller saw it. A call whose outcome is
// unknown may have taken effect at any time after it began, or never.
type Op struct {
	Key     string
	Write   bool
	Value   string // what was written, or what was read; "" is absent
	If      bool   // a write only if the value was Old
	Old     string
	Failed  bool // a conditional write that was told that its condition failed
	From    time.Time
	To      time.Time
	Unknown bool
}

// Linear tells whether a history of one key can be explained by calls that
// each took effect at one moment between begin and end. It searches orders
// depth first and remembers what it has tried.
func Linear(all []Op) bool {
	ops := append([]Op(nil), all...)
	sort.Slice(ops, func(i, j int) bool { return ops[i].From.Before(ops[j].From) })
	// A read without an answer says nothing.
	var list []Op
	for _, o := range ops {
		if !o.Unknown || o.Write {
			list = append(list, o)
		}
	}
	type mark struct {
		done  string
		value string
	}
	tried := map[mark]bool{}
	done := make([]byte, len(list))
	var search func(value string) bool
	search = func(value string) bool {
		m := mark{string(done), value}
		if tried[m] {
			return false
		}
		tried[m] = true
		// Whoever ended first bounds who may come next.
		first := time.Unix(math.MaxInt32, 0)
		left := false
		for i, o := range list {
			if done[i] == 0 && !o.Unknown {
				left = true
				if o.To.Before(first) {
					first = o.To
				}
			}
		}
		if !left {
			return true
		}
		for i, o := range list {
			if done[i] != 0 || o.From.After(first) {
				continue
			}
			next, ok := step(o, value)
			if !ok {
				continue
			}
			done[i] = 1
			if search(next) {
				return true
			}
			done[i] = 0
		}
		return false
	}
	return search("")
}

// step applies one call to a value; false means that it can't be next.
func step(o Op, value string) (string, bool) {
	switch {
	case !o.Write:
		return value, o.Value == value
	case o.If && o.Failed:
		return value, value != o.Old
	case o.If && value != o.Old:
		// Of an unknown one that failed nothing is left.
		return value, o.Unknown
	}
	return o.Value, true
}
