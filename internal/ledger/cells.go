package ledger

import (
	"sort"
	"strings"
)

// Cell is one small key of a group.
type Cell struct {
	Value []byte `msgpack:"v"`
	Rev   uint64 `msgpack:"r"`
}

// Group is the count of revisions that the keys of a group share.
type Group struct {
	Rev    uint64 `msgpack:"r"`
	Oldest uint64 `msgpack:"o"` // the first revision whose put is kept
}

// Put is one step in the history of a group.
type Put struct {
	Name  string `msgpack:"n"`
	Value []byte `msgpack:"v"`
	Rev   uint64 `msgpack:"r"`
}

// Span bounds the bytes of the puts that are kept: they are part of every
// checkpoint. Beyond it a put is turned away rather than one forgotten early.
const Span = 4 << 20

// weight is what a put counts for, its bookkeeping included.
func (p Put) weight() int { return len(p.Name) + len(p.Value) + 64 }

// GroupOf names the group of a key: all up to and including its first dot,
// the whole name when it has none.
func GroupOf(name string) string {
	if i := strings.IndexByte(name, '.'); i >= 0 {
		return name[:i+1]
	}
	return name
}

func known(name string, value []byte) string { return name + "\x00" + string(value) }

// index takes a kept put into what is worked out from the puts.
func (s *State) index(p Put) {
	g := GroupOf(p.Name)
	s.rows[g] = append(s.rows[g], p)
	s.first[known(p.Name, p.Value)] = p.Rev
	s.size += p.weight()
}

// PutCell sets a key of a group. With If set, only when its revision is Rev;
// 0 means that the key must not be there.
type PutCell struct {
	Name  string `msgpack:"n"`
	Value []byte `msgpack:"v"`
	If    bool   `msgpack:"i"`
	Rev   uint64 `msgpack:"r"`
}

// Apply sets the key. A value that the key was given before is the same put
// sent again: it gets the revision that it had, whatever was put since, and
// before anything is compared, since its own first arrival moved the key on.
func (c *PutCell) Apply(s *State) Receipt {
	now, held := s.Cells[c.Name]
	if held && string(now.Value) == string(c.Value) {
		return Receipt{Code: OK, Rev: now.Rev}
	}
	if rev := s.first[known(c.Name, c.Value)]; rev > 0 {
		return Receipt{Code: OK, Rev: rev}
	}
	if c.If && now.Rev != c.Rev {
		return Receipt{Code: Conflict, Rev: now.Rev, Say: "the key's revision is another"}
	}
	name := GroupOf(c.Name)
	g := s.Groups[name]
	p := Put{Name: c.Name, Value: c.Value, Rev: g.Rev + 1}
	if s.size+p.weight() > Span {
		return Receipt{Code: Full, Say: "too much was put lately"}
	}
	g.Rev = p.Rev
	g.Oldest = max(g.Oldest, 1)
	s.Groups[name] = g
	s.Cells[c.Name] = Cell{Value: c.Value, Rev: p.Rev}
	s.Puts = append(s.Puts, p)
	s.index(p)
	return Receipt{Code: OK, Rev: p.Rev}
}

// Given counts the puts that were ever taken, of all groups.
func (s *State) Given() uint64 { return s.Trimmed + uint64(len(s.Puts)) }

// TrimPuts forgets the oldest puts. The writer proposes it from its own count
// of time, so that Apply needs no clock.
type TrimPuts struct {
	To uint64 `msgpack:"t"` // how many puts, counted from the first ever, are old enough
}

// Apply forgets them. What a key holds now stays known as its value.
func (c *TrimPuts) Apply(s *State) Receipt {
	n := 0
	for n < len(s.Puts) && s.Trimmed < c.To {
		p := s.Puts[n]
		name := GroupOf(p.Name)
		g := s.Groups[name]
		g.Oldest = p.Rev + 1
		s.Groups[name] = g
		if s.rows[name] = s.rows[name][1:]; len(s.rows[name]) == 0 {
			delete(s.rows, name)
		}
		delete(s.first, known(p.Name, p.Value))
		s.size -= p.weight()
		s.Trimmed++
		n++
	}
	if n > 0 {
		s.Puts = append([]Put(nil), s.Puts[n:]...)
	}
	return Receipt{Code: OK}
}

// After gives the puts of a group above a revision and the group's revision.
// False means that the history no longer reaches back so far.
func (s *State) After(group string, after uint64) ([]Change, uint64, bool) {
	g := s.Groups[group]
	if after+1 < g.Oldest {
		return nil, g.Rev, false
	}
	row := s.rows[group]
	at := sort.Search(len(row), func(i int) bool { return row[i].Rev > after })
	var out []Change
	for _, p := range row[at:] {
		out = append(out, Change{Rev: p.Rev, Name: p.Name, Value: p.Value})
	}
	return out, g.Rev, true
}
