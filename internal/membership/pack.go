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

// Encode gives what came and went in a short form.
func (d Diff) Encode() []byte {
	cols := make([][]string, wide)
	put := func(row ...string) {
		for i, s := range row {
			cols[i] = append(cols[i], s)
		}
	}
	for _, f := range d.Added {
		in, _, _ := strings.Cut(f.InternalAddr, ":")
		near := func(addr string) string {
			if in != "" && strings.HasPrefix(addr, in+":") {
				return host + addr[len(in):]
			}
			return addr
		}
		put("+", f.Node, f.Incarnation, f.Role, f.Zone, f.InternalAddr, near(f.APIAddr), near(f.TrafficAddr))
	}
	for _, n := range d.Removed {
		put("-", n, "", "", "", "", "", "")
	}
	return compression.EncodeColumns(cols)
}

// DecodeDiff reads the short form; the error is of the kind fault.Input.
func DecodeDiff(b []byte) (Diff, error) {
	cols, err := compression.DecodeColumns(b, wide)
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
			d.Added = append(d.Added, Member{Node: cols[1][i], Incarnation: cols[2][i], Role: cols[3][i], Zone: cols[4][i], InternalAddr: cols[5][i], APIAddr: full(cols[6][i]), TrafficAddr: full(cols[7][i])})
		case "-":
			d.Removed = append(d.Removed, cols[1][i])
		default:
			return Diff{}, fault.New(fault.Input, "a packed member marked %q", sign)
		}
	}
	return d, nil
}
