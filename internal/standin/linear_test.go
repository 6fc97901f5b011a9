package standin

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func at(milliseconds int) time.Time { return time.UnixMilli(int64(milliseconds)) }

// TestLinear checks constructed histories, some of which are linearizable.
func TestLinear(t *testing.T) {
	write := func(value string, from, to int) Op { return Op{Write: true, Value: value, From: at(from), To: at(to)} }
	read := func(value string, from, to int) Op { return Op{Value: value, From: at(from), To: at(to)} }
	uncertain := Op{Write: true, Value: "u", From: at(5), To: at(6), Unknown: true}
	for i, c := range []struct {
		ops  []Op
		want bool
	}{
		{[]Op{write("a", 0, 1), read("a", 2, 3)}, true},
		{[]Op{write("a", 0, 1), read("", 2, 3)}, false},
		{[]Op{write("a", 0, 9), read("", 2, 3), read("a", 4, 5)}, true},
		{[]Op{write("a", 0, 9), read("a", 2, 3), read("", 4, 5)}, false},
		{[]Op{write("a", 0, 1), write("b", 2, 3), read("a", 4, 5)}, false},
		{[]Op{write("a", 0, 1), uncertain, read("u", 8, 9)}, true},
		{[]Op{write("a", 0, 1), uncertain, read("a", 8, 9), read("u", 20, 21)}, true},
		{[]Op{write("a", 0, 1), uncertain, read("u", 8, 9), read("a", 20, 21)}, false},
		{[]Op{write("a", 0, 1), {Write: true, Conditional: true, Expected: "a", Value: "b", From: at(2), To: at(3)}, {Write: true, Conditional: true, Expected: "a", Value: "c", From: at(4), To: at(5)}}, false},
		{[]Op{write("a", 0, 1), {Write: true, Conditional: true, Expected: "a", Value: "b", From: at(2), To: at(3)}, {Write: true, Conditional: true, Expected: "a", Value: "c", ConditionFailed: true, From: at(4), To: at(5)}, read("b", 6, 7)}, true},
	} {
		if got := LinearizableKey(c.ops); got != c.want {
			t.Errorf("history %d: %v, want %v", i, got, c.want)
		}
	}
}

// TestLinearDetectsStaleRead checks that random linearizable histories pass, and that they fail
// once a stale read is appended.
func TestLinearDetectsStaleRead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ops []Op
		value, previous, now := "", "", 0
		for i := range rapid.IntRange(4, 14).Draw(t, "n") {
			now += 10
			halfWidth := rapid.IntRange(0, 4).Draw(t, "wide")
			if rapid.Bool().Draw(t, "write") {
				previous, value = value, fmt.Sprint("v", i)
				ops = append(ops, Op{Write: true, Value: value, From: at(now - halfWidth), To: at(now + halfWidth)})
			} else {
				ops = append(ops, Op{Value: value, From: at(now - halfWidth), To: at(now + halfWidth)})
			}
		}
		if !LinearizableKey(ops) {
			t.Fatal("a linearizable history was rejected")
		}
		if value != "" {
			ops = append(ops, Op{Value: previous, From: at(now + 20), To: at(now + 21)})
			if LinearizableKey(ops) {
				t.Fatal("a stale read was not detected")
			}
		}
	})
}
