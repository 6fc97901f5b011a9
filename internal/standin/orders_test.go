package standin

import "testing"

// TestOrderModel: made-up histories of operators' orders that hold and that
// don't, two operators confirmed under one number among them.
func TestOrderModel(t *testing.T) {
	put := func(n uint64, content string, refused bool, a, b int) HistoryCall {
		return HistoryCall{In: Order{n, content}, Out: OrderAnswer{Refused: refused}, From: at(a), To: at(b)}
	}
	lost := func(n uint64, content string, a int) HistoryCall {
		return HistoryCall{In: Order{n, content}, Out: OrderAnswer{}, From: at(a), To: at(a + 1), Unknown: true}
	}
	read := func(n uint64, content string, a, b int) HistoryCall {
		return HistoryCall{In: Order{}, Out: OrderAnswer{Number: n, Content: content}, From: at(a), To: at(b)}
	}
	for i, c := range []struct {
		calls []HistoryCall
		want  bool
	}{
		{[]HistoryCall{put(1, "x", false, 0, 1), read(1, "x", 2, 3)}, true},
		{[]HistoryCall{put(1, "x", false, 0, 1), put(1, "y", false, 2, 3)}, false}, // both confirmed under one number
		{[]HistoryCall{put(1, "x", false, 0, 1), put(1, "y", true, 2, 3), read(1, "x", 4, 5)}, true},
		{[]HistoryCall{put(1, "x", false, 0, 1), put(1, "x", true, 2, 3)}, false},                      // sent again and refused
		{[]HistoryCall{put(1, "x", false, 0, 1), put(2, "z", false, 2, 3), read(1, "x", 4, 5)}, false}, // an old configuration
		{[]HistoryCall{lost(1, "x", 0), put(1, "y", true, 5, 6), read(1, "x", 7, 8)}, true},
		{[]HistoryCall{lost(1, "x", 0), put(1, "y", false, 5, 6), read(1, "y", 7, 8)}, true},
		{[]HistoryCall{lost(1, "x", 0), put(1, "y", false, 5, 6), read(1, "x", 7, 8)}, false},
		{[]HistoryCall{put(5, "x", false, 0, 1), put(3, "y", false, 2, 3), put(3, "z", true, 4, 5), read(5, "x", 6, 7)}, true},
	} {
		if got := Explained(OrderModel, c.calls); got != c.want {
			t.Errorf("history %d: %v, want %v", i, got, c.want)
		}
	}
}

// TestNumberModel: numbers rise, and are never given twice.
func TestNumberModel(t *testing.T) {
	next := func(n uint64, a, b int) HistoryCall { return HistoryCall{Out: n, From: at(a), To: at(b)} }
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
