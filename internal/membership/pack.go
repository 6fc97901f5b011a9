package membership

import (
	"strings"

	"puffincrank/internal/compression"
	"puffincrank/internal/fault"
)

// wide is the columns of packed members: the fields of a fellow in the order of
// their declaration, after a sign of whether it came or went.
const wide = 8

// host stands for an address's host where that is the inner address's.
const host = "\x01"

// Pack gives what came and went in a short form.
func (d Diff) Pack() []byte {
	cols := make([][]string, wide)
	put := func(row ...string) {
		for i, s := range row {
			cols[i] = append(cols[i], s)
		}
	}
	for _, f := range d.Come {
		in, _, _ := strings.Cut(f.Inner, ":")
		near := func(addr string) string {
			if in != "" && strings.HasPrefix(addr, in+":") {
				return host + addr[len(in):]
			}
			return addr
		}
		put("+", f.Node, f.Start, f.Role, f.Area, f.Inner, near(f.Outer), near(f.Traffic))
	}
	for _, n := range d.Gone {
		put("-", n, "", "", "", "", "", "")
	}
	return compression.Pack(cols)
}

// OpenDiff reads the short form; the error is of the kind fault.Input.
func OpenDiff(b []byte) (Diff, error) {
	cols, err := compression.Open(b, wide)
	if err != nil {
		return Diff{}, err
	}
	var d Diff
	for i, sign := range cols[0] {
		in, _, _ := strings.Cut(cols[5][i], ":")
		full := func(addr string) string {
			if strings.HasPrefix(addr, host) {
				return in + addr[len(host):]
			}
			return addr
		}
		switch sign {
		case "+":
			d.Come = append(d.Come, Fellow{Node: cols[1][i], Start: cols[2][i], Role: cols[3][i], Area: cols[4][i], Inner: cols[5][i], Outer: full(cols[6][i]), Traffic: full(cols[7][i])})
		case "-":
			d.Gone = append(d.Gone, cols[1][i])
		default:
			return Diff{}, fault.New(fault.Input, "a packed member marked %q", sign)
		}
	}
	return d, nil
}
