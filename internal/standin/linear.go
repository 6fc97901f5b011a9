package standin

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

// Op is one call on one key, as its caller saw it. A call whose outcome is unknown may have
// taken effect at any time after it began, or never.
type Op struct {
	Key             string
	Write           bool
	Value           string // the value written or read; "" if the key is absent
	Conditional     bool   // the write applies only if the value is Expected
	Expected        string
	ConditionFailed bool // the answer said that the condition failed
	From            time.Time
	To              time.Time
	Unknown         bool
}

// LinearizableKey reports whether the history of one key is linearizable: each call can have taken
// effect at one instant between its start and its end.
func LinearizableKey(ops []Op) bool {
	var calls []HistoryCall
	for _, op := range ops {
		// A read without an answer proves nothing.
		if !op.Unknown || op.Write {
			calls = append(calls, HistoryCall{In: op, From: op.From, To: op.To, Unknown: op.Unknown})
		}
	}
	return Linearizable(keyModel, calls)
}

// HistoryCall is one call of a history, on any kind of object.
type HistoryCall struct {
	In, Out  any
	From, To time.Time
	Unknown  bool // it is not known whether and when it took effect
}

// Linearizable reports whether a history is linearizable by a model. A call with an unknown outcome
// has no end: it may take effect after all others, which is equivalent to never.
func Linearizable(model porcupine.Model, calls []HistoryCall) bool {
	var ops []porcupine.Operation
	for i, c := range calls {
		operation := porcupine.Operation{ClientId: i, Input: c, Call: c.From.UnixNano(), Output: c.Out, Return: c.To.UnixNano()}
		if c.Unknown {
			operation.Return = math.MaxInt64
		}
		ops = append(ops, operation)
	}
	return porcupine.CheckOperations(model, ops)
}

// keyModel models one key. Its state is the value.
var keyModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, _ any) (bool, any) {
		o, _ := input.(HistoryCall).In.(Op)
		next, ok := applyOp(o, state.(string))
		return ok, next
	},
}

// applyOp applies one call to a value. It returns false if the call cannot be the next one.
func applyOp(op Op, value string) (string, bool) {
	switch {
	case !op.Write:
		return value, op.Value == value
	case op.Conditional && op.ConditionFailed:
		return value, value != op.Expected
	case op.Conditional && value != op.Expected:
		// If its outcome is unknown, it may have failed, without effect.
		return value, op.Unknown
	}
	return op.Value, true
}

// NumberModel models a sequence of rising numbers. Each call returns, in Out, a number above all
// that were returned before.
var NumberModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		last := state.(uint64)
		if input.(HistoryCall).Unknown {
			// Numbers may be skipped, so it makes no difference.
			return true, last
		}
		got := output.(uint64)
		return got > last, got
	},
}

// ConfigCall is an operator's configuration with its number, or a read of the one in force.
type ConfigCall struct {
	Number  uint64 // 0 for a read
	Content string
}

// ConfigAnswer is the answer to an Order: an acknowledgement, a rejection, or the result of a
// read.
type ConfigAnswer struct {
	Refused bool
	Number  uint64
	Content string
}

// configState holds the configuration in force, and the content that was accepted with each
// number, in the order of acceptance.
type configState struct {
	current  ConfigCall
	contents string // one line for each accepted number
}

// ConfigModel models the operator's configuration. The highest number is in force. A number has
// the same content forever: other content is rejected, and the same content is acknowledged
// each time it is sent.
var ConfigModel = porcupine.Model{
	Init: func() any { return configState{} },
	Step: func(state, input, output any) (bool, any) {
		s, call := state.(configState), input.(HistoryCall)
		in, _ := call.In.(ConfigCall)
		out, _ := output.(ConfigAnswer)
		if in.Number == 0 {
			return out.Number == s.current.Number && out.Content == s.current.Content, s
		}
		content, known := s.content(in.Number)
		refused := known && content != in.Content
		if !call.Unknown && refused != out.Refused {
			return false, s
		}
		if refused || known {
			return true, s
		}
		return true, s.accept(in)
	},
}
