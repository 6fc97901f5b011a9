package standin

import "testing"

// TestOrderModel checks constructed histories of configurations, some of which are allowed. In
// one, two operators get different contents acknowledged under one number.
func TestOrderModel(t *testing.T) {
	order := func(number uint64, content string, refused bool, from, to int) HistoryCall {
		return HistoryCall{In: ConfigCall{number, content}, Out: ConfigAnswer{Refused: refused}, From: at(from), To: at(to)}
	}
	uncertain := func(number uint64, content string, from int) HistoryCall {
		return HistoryCall{In: ConfigCall{number, content}, Out: ConfigAnswer{}, From: at(from), To: at(from + 1), Unknown: true}
	}
	read := func(number uint64, content string, from, to int) HistoryCall {
		return HistoryCall{In: ConfigCall{}, Out: ConfigAnswer{Number: number, Content: content}, From: at(from), To: at(to)}
	}
	for i, c := range []struct {
		calls []HistoryCall
		want  bool
	}{
		{[]HistoryCall{order(1, "x", false, 0, 1), read(1, "x", 2, 3)}, true},
		{[]HistoryCall{order(1, "x", false, 0, 1), order(1, "y", false, 2, 3)}, false}, // both acknowledged under one number
		{[]HistoryCall{order(1, "x", false, 0, 1), order(1, "y", true, 2, 3), read(1, "x", 4, 5)}, true},
		{[]HistoryCall{order(1, "x", false, 0, 1), order(1, "x", true, 2, 3)}, false},                      // sent again and rejected
		{[]HistoryCall{order(1, "x", false, 0, 1), order(2, "z", false, 2, 3), read(1, "x", 4, 5)}, false}, // an outdated configuration is read
		{[]HistoryCall{uncertain(1, "x", 0), order(1, "y", true, 5, 6), read(1, "x", 7, 8)}, true},
		{[]HistoryCall{uncertain(1, "x", 0), order(1, "y", false, 5, 6), read(1, "y", 7, 8)}, true},
		{[]HistoryCall{uncertain(1, "x", 0), order(1, "y", false, 5, 6), read(1, "x", 7, 8)}, false},
		{[]HistoryCall{order(5, "x", false, 0, 1), order(3, "y", false, 2, 3), order(3, "z", true, 4, 5), read(5, "x", 6, 7)}, true},
	} {
		if got := Linearizable(ConfigModel, c.calls); got != c.want {
			t.Errorf("history %d: %v, want %v", i, got, c.want)
		}
	}
}

// TestNumberModel checks that numbers must rise and must not be given twice.
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
		if got := Linearizable(NumberModel, c.calls); got != c.want {
			t.Errorf("history %d: %v, want %v", i, got, c.want)
		}
	}
}
