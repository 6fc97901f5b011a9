package membership

import (
	"strings"

	"puffincrank/internal/compression"
	"puffincrank/internal/fault"
)

// columnCount is the number of columns of an encoded Diff: a mark for added or removed, and
// the fields of a Member in the order of their declaration.
const columnCount = 8

// sameHostMark replaces the host of an address if it equals that of the internal address.
const sameHostMark = "\x01"

// Encode returns the difference in compact form.
func (d Diff) Encode() []byte {
	columns := make([][]string, columnCount)
	addRow := func(row ...string) {
		for i, value := range row {
			columns[i] = append(columns[i], value)
		}
	}
	for _, member := range d.Added {
		internalHost, _, _ := strings.Cut(member.InternalAddr, ":")
		shortAddr := func(addr string) string {
			if internalHost != "" && strings.HasPrefix(addr, internalHost+":") {
				return sameHostMark + addr[len(internalHost):]
			}
			return addr
		}
		addRow("+", member.Node, member.Incarnation, member.Role, member.Zone, member.InternalAddr, shortAddr(member.APIAddr), shortAddr(member.TrafficAddr))
	}
	for _, node := range d.Removed {
		addRow("-", node, "", "", "", "", "", "")
	}
	return compression.EncodeColumns(columns)
}

// DecodeDiff decodes the compact form. Its errors are of kind fault.Input.
func DecodeDiff(encoded []byte) (Diff, error) {
	columns, err := compression.DecodeColumns(encoded, columnCount)
	if err != nil {
		return Diff{}, err
	}
	var diff Diff
	for i, mark := range columns[0] {
		internalHost, _, _ := strings.Cut(columns[5][i], ":")
		fullAddr := func(addr string) string {
			if strings.HasPrefix(addr, sameHostMark) {
				return internalHost + addr[len(sameHostMark):]
			}
			return addr
		}
		switch mark {
		case "+":
			diff.Added = append(diff.Added, Member{Node: columns[1][i], Incarnation: columns[2][i], Role: columns[3][i], Zone: columns[4][i], InternalAddr: columns[5][i], APIAddr: fullAddr(columns[6][i]), TrafficAddr: fullAddr(columns[7][i])})
		case "-":
			diff.Removed = append(diff.Removed, columns[1][i])
		default:
			return Diff{}, fault.New(fault.Input, "a packed member marked %q", mark)
		}
	}
	return diff, nil
}
