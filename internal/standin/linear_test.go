package standin

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func at(ms int) time.Time { return time.UnixMilli(int64(ms)) }

// TestLinear: made-up histories that hold and that don't.
func TestLinear(t *testing.T) {
	w := func(v string, a, b int) Op { return Op{Write: true, Value: v, From: at(a), To: at(b)} }
	r := func(v string, a, b int) Op { return Op{Value: v, From: at(a), To: at(b)} }
	lost := Op{Write: true, Value: "u", From: at(5), To: at(6), Unknown: true}
	for i, c := range []struct {
		ops  []Op
		want bool
	}{
		{[]Op{w("a", 0, 1), r("a", 2, 3)}, true},
		{[]Op{w("a", 0, 1), r("", 2, 3)}, false},
		{[]Op{w("a", 0, 9), r("", 2, 3), r("a", 4, 5)}, true},
		{[]Op{w("a", 0, 9), r("a", 2, 3), r("", 4, 5)}, false},
		{[]Op{w("a", 0, 1), w("b", 2, 3), r("a", 4, 5)}, false},
		{[]Op{w("a", 0, 1), lost, r("u", 8, 9)}, true},
		{[]Op{w("a", 0, 1), lost, r("a", 8, 9), r("u", 20, 21)}, true},
		{[]Op{w("a", 0, 1), lost, r("u", 8, 9), r("a", 20, 21)}, false},
		{[]Op{w("a", 0, 1), {Write: true, If: true, Old: "a", Value: "b", From: at(2), To: at(3)}, {Write: true, If: true, Old: "a", Value: "c", From: at(4), To: at(5)}}, false},
		{[]Op{w("a", 0, 1), {Write: true, If: true, Old: "a", Value: "b", From: at(2), To: at(3)}, {Write: true, If: true, Old: "a", Value: "c", Failed: true, From: at(4), To: at(5)}, r("b", 6, 7)}, true},
	} {
		if got := Linear(c.ops); got != c.want {
			t.Errorf("history %d: %v, want %v", i, got, c.want)
		}
	}
}

// TestLinearFinds: true histories pass, and one old read in them is caught.
func TestLinearFinds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ops []Op
		value, last, now := "", "", 0
		for i := range rapid.IntRange(4, 14).Draw(t, "n") {
			now += 10
			wide := rapid.IntRange(0, 4).Draw(t, "wide")
			if rapid.Bool().Draw(t, "write") {
				last, value = value, fmt.Sprint("v", i)
				ops = append(ops, Op{Write: true, Value: value, From: at(now - wide), To: at(now + wide)})
			} else {
				ops = append(ops, Op{Value: value, From: at(now - wide), To: at(now + wide)})
			}
		}
		if !Linear(ops) {
			t.Fatal("a true history was not explained")
		}
		if value != "" {
			ops = append(ops, Op{Value: last, From: at(now + 20), To: at(now + 21)})
			if Linear(ops) {
				t.Fatal("an old read was not caught")
			}
		}
	})
}
