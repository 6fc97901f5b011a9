package ormap

import (
	"sort"
	"strconv"
	"strings"

	"puffincrank/internal/compression"
	"puffincrank/internal/fault"
	"puffincrank/internal/hlc"
)

// columnCount is the number of columns of a compact delta. Entries and tombstones share
// the table. The row of a tombstone has its reason in the service column, the worker if it
// is gone for good, and no owner.
const columnCount = 8

// Encode returns the delta in compact form, which is sent to peers that accept it.
func (d Delta) Encode() Delta {
	if d.Empty() || len(d.Compact) > 0 {
		return d
	}
	columns := make([][]string, columnCount)
	addRow := func(row ...string) {
		for i, value := range row {
			columns[i] = append(columns[i], value)
		}
	}
	lastWall := int64(0)
	// A timestamp is encoded as the difference from the previous one.
	encodeStamp := func(value hlc.Timestamp) string {
		difference := value.Wall - lastWall
		lastWall = value.Wall
		text := strconv.FormatInt(difference, 36)
		if value.Count > 0 {
			text += "." + strconv.FormatUint(uint64(value.Count), 36)
		}
		return text
	}
	adds := append([]Entry(nil), d.Adds...)
	sort.SliceStable(adds, func(i, j int) bool { return less(adds[i].Dot, adds[j].Dot) })
	for _, e := range adds {
		addRow("+"+trimSharedPrefix(e.Dot.Node, e.Owner), encodeStamp(e.Dot.Stamp), e.Owner, e.Service, trimSharedPrefix(e.Worker, e.Owner), e.InternalAddr, e.Zone, encodeMeta(e.Meta, e.InternalAddr))
	}
	tombstones := append([]Tombstone(nil), d.Tombstones...)
	sort.SliceStable(tombstones, func(i, j int) bool { return less(tombstones[i].Dot, tombstones[j].Dot) })
	for _, tombstone := range tombstones {
		addRow("-"+tombstone.Dot.Node, encodeStamp(tombstone.Dot.Stamp), "", tombstone.Reason, tombstone.Worker, "", "", "")
	}
	return Delta{Compact: compression.EncodeColumns(columns)}
}

// Decode expands the compact form of a delta. Its errors are of kind fault.Input.
func (d Delta) Decode() (Delta, error) {
	if len(d.Compact) == 0 {
		return d, nil
	}
	columns, err := compression.DecodeColumns(d.Compact, columnCount)
	if err != nil {
		return Delta{}, err
	}
	out := Delta{Adds: d.Adds, Tombstones: d.Tombstones}
	lastWall := int64(0)
	for i, node := range columns[0] {
		difference, count, _ := strings.Cut(columns[1][i], ".")
		parsed, err := strconv.ParseInt(difference, 36, 64)
		lastWall += parsed
		stamp := hlc.Timestamp{Wall: lastWall}
		if err == nil && count != "" {
			var n uint64
			n, err = strconv.ParseUint(count, 36, 32)
			stamp.Count = uint32(n)
		}
		owner := columns[2][i]
		switch {
		case err != nil || node == "":
			return Delta{}, fault.New(fault.Input, "a packed dot %q %q", node, columns[1][i])
		case node[0] == '-':
			out.Tombstones = append(out.Tombstones, Tombstone{Dot: Dot{node[1:], stamp}, Reason: columns[3][i], Worker: columns[4][i]})
		default:
			out.Adds = append(out.Adds, Entry{Dot: Dot{addSharedPrefix(node[1:], owner), stamp}, Owner: owner, Service: columns[3][i],
				Worker: addSharedPrefix(columns[4][i], owner), InternalAddr: columns[5][i], Zone: columns[6][i], Meta: decodeMeta(columns[7][i], columns[5][i])})
		}
	}
	return out, nil
}

// prefixMark replaces a prefix of a text that is also the value of another column in the
// row. literalMark is put before a text that itself begins with one of the two marks.
const prefixMark, literalMark = "\x01", "\x02"

// trimSharedPrefix replaces a prefix of text by prefixMark.
func trimSharedPrefix(text, prefix string) string {
	if prefix != "" && strings.HasPrefix(text, prefix) {
		return prefixMark + text[len(prefix):]
	}
	if strings.HasPrefix(text, prefixMark) || strings.HasPrefix(text, literalMark) {
		return literalMark + text
	}
	return text
}

// addSharedPrefix reverses trimSharedPrefix.
func addSharedPrefix(text, prefix string) string {
	if strings.HasPrefix(text, prefixMark) {
		return prefix + text[len(prefixMark):]
	}
	return strings.TrimPrefix(text, literalMark)
}

// host returns an address without its port.
func host(addr string) string { h, _, _ := strings.Cut(addr, ":"); return h }

// encodeMeta encodes the metadata of a registration in the order of its keys. Values that
// begin with the host of internalAddr are shortened.
func encodeMeta(values map[string]string, internalAddr string) string {
	if values == nil {
		return ""
	}
	var names []string
	for key := range values {
		names = append(names, key)
	}
	sort.Strings(names)
	encoded := prefixMark
	for _, key := range names {
		encoded += strconv.Quote(key) + strconv.Quote(trimSharedPrefix(values[key], host(internalAddr)))
	}
	return encoded
}

// decodeMeta reverses encodeMeta.
func decodeMeta(encoded, internalAddr string) map[string]string {
	if !strings.HasPrefix(encoded, prefixMark) {
		return nil
	}
	values := map[string]string{}
	next := func() string {
		quoted, err := strconv.QuotedPrefix(encoded)
		if err != nil {
			encoded = ""
			return ""
		}
		encoded = encoded[len(quoted):]
		text, _ := strconv.Unquote(quoted)
		return text
	}
	for encoded = encoded[len(prefixMark):]; encoded != ""; {
		key := next()
		values[key] = addSharedPrefix(next(), host(internalAddr))
	}
	return values
}
