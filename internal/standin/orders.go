package standin

import (
	"fmt"
	"strings"
)

// content gives the content that a number was taken with.
func (s orders) content(number uint64) (string, bool) {
	for _, line := range strings.Split(s.taken, "\n") {
		if n, content, ok := strings.Cut(line, " "); ok && n == fmt.Sprint(number) {
			return content, true
		}
	}
	return "", false
}

// take notes a number's content; the highest number stands.
func (s orders) take(in Order) orders {
	s.taken += fmt.Sprintf("%d %s\n", in.Number, in.Content)
	if in.Number > s.stands.Number {
		s.stands = in
	}
	return s
}
