package standin

import (
	"fmt"
	"strings"
)

// content returns the content that was accepted with a number.
func (s configState) content(number uint64) (string, bool) {
	for _, line := range strings.Split(s.contents, "\n") {
		if numberText, content, ok := strings.Cut(line, " "); ok && numberText == fmt.Sprint(number) {
			return content, true
		}
	}
	return "", false
}

// accept records the content of a number. The highest number is in force.
func (s configState) accept(order ConfigCall) configState {
	s.contents += fmt.Sprintf("%d %s\n", order.Number, order.Content)
	if order.Number > s.current.Number {
		s.current = order
	}
	return s
}
