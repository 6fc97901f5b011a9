package ormap

import (
	"sort"
	"strconv"
	"strings"

	"puffincrank/internal/compression"
	"puffincrank/internal/fault"
	"puffincrank/internal/hlc"
)

// wide is the columns of a packed delta. Entries and graves share the table; a
// grave has its reason where an entry has its service, the worker if that is gone
// for good, and no owner.
const wide = 8

// Encode gives the delta in its short form, which travels in the place of the
// long one to those who take it.
func (d Delta) Encode() Delta {
	if d.Empty() || len(d.Compact) > 0 {
		return d
	}
	cols := make([][]string, wide)
	put := func(row ...string) {
		for i, s := range row {
			cols[i] = append(cols[i], s)
		}
	}
	last := int64(0)
	// A stamp by its distance from the one before.
	stamp := func(s hlc.Timestamp) string {
		by := s.Wall - last
		last = s.Wall
		text := strconv.FormatInt(by, 36)
		if s.Count > 0 {
			text += "." + strconv.FormatUint(uint64(s.Count), 36)
		}
		return text
	}
	adds := append([]Entry(nil), d.Adds...)
	sort.SliceStable(adds, func(i, j int) bool { return less(adds[i].Dot, adds[j].Dot) })
	for _, e := range adds {
		put("+"+after(e.Dot.Node, e.Owner), stamp(e.Dot.Stamp), e.Owner, e.Service, after(e.Worker, e.Owner), e.InternalAddr, e.Zone, meta(e.Meta, e.InternalAddr))
	}
	dead := append([]Tombstone(nil), d.Tombstones...)
	sort.SliceStable(dead, func(i, j int) bool { return less(dead[i].Dot, dead[j].Dot) })
	for _, g := range dead {
		put("-"+g.Dot.Node, stamp(g.Dot.Stamp), "", g.Reason, g.Worker, "", "", "")
	}
	return Delta{Compact: compression.EncodeColumns(cols)}
}

// Decode gives the long form of a delta. The error is of the kind fault.Input.
func (d Delta) Decode() (Delta, error) {
	if len(d.Compact) == 0 {
		return d, nil
	}
	cols, err := compression.DecodeColumns(d.Compact, wide)
	if err != nil {
		return Delta{}, err
	}
	out := Delta{Adds: d.Adds, Tombstones: d.Tombstones}
	last := int64(0)
	for i, node := range cols[0] {
		by, count, _ := strings.Cut(cols[1][i], ".")
		step, err := strconv.ParseInt(by, 36, 64)
		last += step
		at := hlc.Timestamp{Wall: last}
		if err == nil && count != "" {
			var n uint64
			n, err = strconv.ParseUint(count, 36, 32)
			at.Count = uint32(n)
		}
		owner := cols[2][i]
		switch {
		case err != nil || node == "":
			return Delta{}, fault.New(fault.Input, "a packed dot %q %q", node, cols[1][i])
		case node[0] == '-':
			out.Tombstones = append(out.Tombstones, Tombstone{Dot: Dot{node[1:], at}, Reason: cols[3][i], Worker: cols[4][i]})
		default:
			out.Adds = append(out.Adds, Entry{Dot: Dot{before(node[1:], owner), at}, Owner: owner, Service: cols[3][i],
				Worker: before(cols[4][i], owner), InternalAddr: cols[5][i], Zone: cols[6][i], Meta: unmeta(cols[7][i], cols[5][i])})
		}
	}
	return out, nil
}

// same stands for what a text begins with that stands in the row already; as is
// goes before a text that begins like one of the two.
const same, asIs = "\x01", "\x02"

func after(text, head string) string {
	if head != "" && strings.HasPrefix(text, head) {
		return same + text[len(head):]
	}
	if strings.HasPrefix(text, same) || strings.HasPrefix(text, asIs) {
		return asIs + text
	}
	return text
}

func before(text, head string) string {
	if strings.HasPrefix(text, same) {
		return head + text[len(same):]
	}
	return strings.TrimPrefix(text, asIs)
}

// host is an address without its port.
func host(addr string) string { h, _, _ := strings.Cut(addr, ":"); return h }

// meta writes a registration's words by their names.
func meta(m map[string]string, inner string) string {
	if m == nil {
		return ""
	}
	var names []string
	for k := range m {
		names = append(names, k)
	}
	sort.Strings(names)
	b := same
	for _, k := range names {
		b += strconv.Quote(k) + strconv.Quote(after(m[k], host(inner)))
	}
	return b
}

func unmeta(s, inner string) map[string]string {
	if !strings.HasPrefix(s, same) {
		return nil
	}
	out := map[string]string{}
	next := func() string {
		q, err := strconv.QuotedPrefix(s)
		if err != nil {
			s = ""
			return ""
		}
		s = s[len(q):]
		text, _ := strconv.Unquote(q)
		return text
	}
	for s = s[len(same):]; s != ""; {
		k := next()
		out[k] = before(next(), host(inner))
	}
	return out
}
