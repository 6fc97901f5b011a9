package standin

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

// Op is one call on one key, as its caller saw it. A call whose outcome is
// unknown may have taken effect at any time after it began, or never.
type Op struct {
	Key             string
	Write           bool
	Value           string // what was written, or what was read; "" is absent
	Conditional     bool   // a write only if the value was Old
	Expected        string
	ConditionFailed bool // a conditional write that was told that its condition failed
	From            time.Time
	To              time.Time
	Unknown         bool
}

// Linear tells whether a history of one key can be explained by calls that each
// took effect at one moment between begin and end.
func Linear(ops []Op) bool {
	var calls []HistoryCall
	for _, op := range ops {
		// A read without an answer says nothing.
		if !op.Unknown || op.Write {
			calls = append(calls, HistoryCall{In: op, From: op.From, To: op.To, Unknown: op.Unknown})
		}
	}
	return Explained(keyModel, calls)
}

// HistoryCall is one call of a history, on whatever object a model is of.
type HistoryCall struct {
	In, Out  any
	From, To time.Time
	Unknown  bool // whether it took effect, and when, is not known
}

// Explained tells whether a model explains a history. A call that is unknown has
// no end: it may take effect after all others, which is as good as never.
func Explained(model porcupine.Model, calls []HistoryCall) bool {
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

// keyModel is one key: its state is the value.
var keyModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, _ any) (bool, any) {
		o, _ := input.(HistoryCall).In.(Op)
		next, ok := applyOp(o, state.(string))
		return ok, next
	},
}

// applyOp applies one call to a value; false means that it can't be next.
func applyOp(op Op, value string) (string, bool) {
	switch {
	case !op.Write:
		return value, op.Value == value
	case op.Conditional && op.ConditionFailed:
		return value, value != op.Expected
	case op.Conditional && value != op.Expected:
		// Of an unknown one that failed nothing is left.
		return value, op.Unknown
	}
	return op.Value, true
}

// NumberModel is a row of rising numbers: each call gives one above all that were
// given before; Out is the number.
var NumberModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		last := state.(uint64)
		if input.(HistoryCall).Unknown {
			// Numbers may be left out, so it makes no difference.
			return true, last
		}
		got := output.(uint64)
		return got > last, got
	},
}

// Order is an operator's configuration under a number, or a read of what stands.
type Order struct {
	Number  uint64 // 0 for a read
	Content string
}

// OrderAnswer is what came back: a confirmation, a refusal, or what a read gave.
type OrderAnswer struct {
	Refused bool
	Number  uint64
	Content string
}

// configState is the state of a configuration: what stands, and the content that each
// number was taken with, in the order of numbers.
type configState struct {
	current  Order
	contents string // one line for each number that was taken
}

// OrderModel is the operator's configuration: the highest number stands; one
// number has one content for ever; another content under it is refused, and the
// same one confirmed as often as it comes.
var OrderModel = porcupine.Model{
	Init: func() any { return configState{} },
	Step: func(state, input, output any) (bool, any) {
		s, call := state.(configState), input.(HistoryCall)
		in, _ := call.In.(Order)
		out, _ := output.(OrderAnswer)
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
