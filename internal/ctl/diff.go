package ctl

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
)

// diff gives the lines that two texts don't share, by their longest common
// run of lines.
func diff(a, b []string) []string {
	// What is alike at both ends needs no table, which keeps large documents
	// with a small change cheap.
	for len(a) > 0 && len(b) > 0 && a[0] == b[0] {
		a, b = a[1:], b[1:]
	}
	for len(a) > 0 && len(b) > 0 && a[len(a)-1] == b[len(b)-1] {
		a, b = a[:len(a)-1], b[:len(b)-1]
	}
	size := make([][]int, len(a)+1)
	for i := range size {
		size[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				size[i][j] = size[i+1][j+1] + 1
			} else {
				size[i][j] = max(size[i+1][j], size[i][j+1])
			}
		}
	}
	var out []string
	for i, j := 0, 0; i < len(a) || j < len(b); {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			i, j = i+1, j+1
		case j >= len(b) || (i < len(a) && size[i+1][j] >= size[i][j+1]):
			out = append(out, "- "+a[i])
			i++
		default:
			out = append(out, "+ "+b[j])
			j++
		}
	}
	return out
}

// diff prints the lines that differ between what is in force and a document.
func (m *command) diff(doc []byte) int {
	return m.show(http.MethodGet, "/puffin/config", nil, func(raw []byte) error {
		var got struct {
			Version  uint64 `json:"version"`
			Document any    `json:"document"`
		}
		if err := json.Unmarshal(raw, &got); err != nil {
			return err
		}
		var want any
		if err := json.Unmarshal(doc, &want); err != nil {
			return err
		}
		fmt.Fprintf(m.say, "against version %d\n", got.Version)
		old, now := lines(got.Document), lines(want)
		for _, l := range diff(old, now) {
			fmt.Fprintln(m.out, l)
		}
		return nil
	})
}

func lines(v any) []string {
	b, _ := json.MarshalIndent(v, "", "  ")
	return strings.Split(string(b), "\n")
}
