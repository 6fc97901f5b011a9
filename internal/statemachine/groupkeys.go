package statemachine

import (
	"sort"
	"strings"
)

// GroupKey is one small key of a group.
type GroupKey struct {
	Value    []byte `msgpack:"v"`
	Revision uint64 `msgpack:"r"`
}

// Group is the count of revisions that the keys of a group share.
type Group struct {
	Revision uint64 `msgpack:"r"`
	Oldest   uint64 `msgpack:"o"` // the first revision whose put is kept
}

// Put is one step in the history of a group.
type Put struct {
	Name     string `msgpack:"n"`
	Value    []byte `msgpack:"v"`
	Revision uint64 `msgpack:"r"`
}

// maxPutBytes bounds the bytes of the puts that are kept: they are part of every
// snapshot. Beyond it a put is turned away rather than one forgotten early.
const maxPutBytes = 4 << 20

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

func putID(name string, value []byte) string { return name + "\x00" + string(value) }

// index takes a kept put into what is worked out from the puts.
func (s *State) index(p Put) {
	g := GroupOf(p.Name)
	s.putsByGroup[g] = append(s.putsByGroup[g], p)
	s.firstRevisions[putID(p.Name, p.Value)] = p.Revision
	s.size += p.weight()
}

// PutGroupKey sets a key of a group. With If set, only when its revision is Rev;
// 0 means that the key must not be there.
type PutGroupKey struct {
	Name     string `msgpack:"n"`
	Value    []byte `msgpack:"v"`
	If       bool   `msgpack:"i"`
	Revision uint64 `msgpack:"r"`
}

// Apply sets the key. A value that the key was given before is the same put
// sent again: it gets the revision that it had, whatever was put since, and
// before anything is compared, since its own first arrival moved the key on.
func (c *PutGroupKey) Apply(s *State) Result {
	now, held := s.GroupKeys[c.Name]
	if held && string(now.Value) == string(c.Value) {
		return Result{Code: OK, Revision: now.Revision}
	}
	if rev := s.firstRevisions[putID(c.Name, c.Value)]; rev > 0 {
		return Result{Code: OK, Revision: rev}
	}
	if c.If && now.Revision != c.Revision {
		return Result{Code: Conflict, Revision: now.Revision, Message: "the key's revision is another"}
	}
	name := GroupOf(c.Name)
	g := s.Groups[name]
	p := Put{Name: c.Name, Value: c.Value, Revision: g.Revision + 1}
	if s.size+p.weight() > maxPutBytes {
		return Result{Code: Full, Message: "too much was put lately"}
	}
	g.Revision = p.Revision
	g.Oldest = max(g.Oldest, 1)
	s.Groups[name] = g
	s.GroupKeys[c.Name] = GroupKey{Value: c.Value, Revision: p.Revision}
	s.Puts = append(s.Puts, p)
	s.index(p)
	return Result{Code: OK, Revision: p.Revision}
}

// TotalPuts counts the puts that were ever taken, of all groups.
func (s *State) TotalPuts() uint64 { return s.CompactedPuts + uint64(len(s.Puts)) }

// CompactPuts forgets the oldest puts. The leader proposes it from its own count
// of time, so that Apply needs no clock.
type CompactPuts struct {
	To uint64 `msgpack:"t"` // how many puts, counted from the first ever, are old enough
}

// Apply forgets them. What a key holds now stays known as its value.
func (c *CompactPuts) Apply(s *State) Result {
	n := 0
	for n < len(s.Puts) && s.CompactedPuts < c.To {
		p := s.Puts[n]
		name := GroupOf(p.Name)
		g := s.Groups[name]
		g.Oldest = p.Revision + 1
		s.Groups[name] = g
		if s.putsByGroup[name] = s.putsByGroup[name][1:]; len(s.putsByGroup[name]) == 0 {
			delete(s.putsByGroup, name)
		}
		delete(s.firstRevisions, putID(p.Name, p.Value))
		s.size -= p.weight()
		s.CompactedPuts++
		n++
	}
	if n > 0 {
		s.Puts = append([]Put(nil), s.Puts[n:]...)
	}
	return Result{Code: OK}
}

// PutsAfter gives the puts of a group above a revision and the group's revision.
// False means that the history no longer reaches back so far.
func (s *State) PutsAfter(group string, after uint64) ([]Change, uint64, bool) {
	g := s.Groups[group]
	if after+1 < g.Oldest {
		return nil, g.Revision, false
	}
	row := s.putsByGroup[group]
	at := sort.Search(len(row), func(i int) bool { return row[i].Revision > after })
	var out []Change
	for _, p := range row[at:] {
		out = append(out, Change{Revision: p.Revision, Name: p.Name, Value: p.Value})
	}
	return out, g.Revision, true
}
