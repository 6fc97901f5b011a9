package standin

import "testing"

// TestOrderModel: made-up histories of operators' orders that hold and that
// don't, two operators confirmed under one number among them.
func TestOrderModel(t *testing.T) {
	order := func(number uint64, content string, refused bool, from, to int) HistoryCall {
		return HistoryCall{In: Order{number, content}, Out: OrderAnswer{Refused: refused}, From: at(from), To: at(to)}
	}
	uncertain := func(number uint64, content string, from int) HistoryCall {
		return HistoryCall{In: Order{number, content}, Out: OrderAnswer{}, From: at(from), To: at(from + 1), Unknown: true}
	}
	read := func(number uint64, content string, from, to int) HistoryCall {
		return HistoryCall{In: Order{}, Out: OrderAnswer{Number: number, Content: content}, From: at(from), To: at(to)}
	}
	for i, c := range []struct {
		calls []HistoryCall
		want  bool
	}{
		{[]HistoryCall{order(1, "x", false, 0, 1), read(1, "x", 2, 3)}, true},
		{[]HistoryCall{order(1, "x", false, 0, 1), order(1, "y", false, 2, 3)}, false}, // both confirmed under one number
		{[]HistoryCall{order(1, "x", false, 0, 1), order(1, "y", true, 2, 3), read(1, "x", 4, 5)}, true},
		{[]HistoryCall{order(1, "x", false, 0, 1), order(1, "x", true, 2, 3)}, false},                      // sent again and refused
		{[]HistoryCall{order(1, "x", false, 0, 1), order(2, "z", false, 2, 3), read(1, "x", 4, 5)}, false}, // an old configuration
		{[]HistoryCall{uncertain(1, "x", 0), order(1, "y", true, 5, 6), read(1, "x", 7, 8)}, true},
		{[]HistoryCall{uncertain(1, "x", 0), order(1, "y", false, 5, 6), read(1, "y", 7, 8)}, true},
		{[]HistoryCall{uncertain(1, "x", 0), order(1, "y", false, 5, 6), read(1, "x", 7, 8)}, false},
		{[]HistoryCall{order(5, "x", false, 0, 1), order(3, "y", false, 2, 3), order(3, "z", true, 4, 5), read(5, "x", 6, 7)}, true},
	} {
		if got := Explained(OrderModel, c.calls); got != c.want {
			t.Errorf("history %d: %v, want %v", i, got, c.want)
		}
	}
}

// TestNumberModel: numbers rise, and are never given twice.
func TestNumberModel(t *testing.T) {
	next := func(number uint64, from, to int) HistoryCall {
		return HistoryCall{Out: number, From: at(from), To: at(to)}
	}
	for i, c := range []struct {
		calls []HistoryCall
		want  bool
	}{
		{[]HistoryCall{next(1, 0, 1), next(3, 2, 3)}, true},
		{[]HistoryCall{next(2, 0, 5), next(1, 1, 6)}, true},
		{[]HistoryCall{next(1, 0, 1), next(1, 2, 3)}, false},
		{[]HistoryCall{next(4, 0, 1), next(2, 2, 3)}, false},
	} {
		if got := Explained(NumberModel, c.calls); got != c.want {
			t.Errorf("history %d: %v, want %v", i, got, c.want)
		}
	}
}
