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

// storedBytes is what a put counts for, its bookkeeping included.
func (p Put) storedBytes() int { return len(p.Name) + len(p.Value) + 64 }

// GroupOf names the group of a key: all up to and including its first dot,
// the whole name when it has none.
func GroupOf(name string) string {
	if dot := strings.IndexByte(name, '.'); dot >= 0 {
		return name[:dot+1]
	}
	return name
}

func putID(name string, value []byte) string { return name + "\x00" + string(value) }

// indexPut takes a kept put into what is worked out from the puts.
func (s *State) indexPut(put Put) {
	group := GroupOf(put.Name)
	s.putsByGroup[group] = append(s.putsByGroup[group], put)
	s.firstRevisions[putID(put.Name, put.Value)] = put.Revision
	s.putBytes += put.storedBytes()
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
	current, exists := s.GroupKeys[c.Name]
	if exists && string(current.Value) == string(c.Value) {
		return Result{Code: OK, Revision: current.Revision}
	}
	if revision := s.firstRevisions[putID(c.Name, c.Value)]; revision > 0 {
		return Result{Code: OK, Revision: revision}
	}
	if c.If && current.Revision != c.Revision {
		return Result{Code: Conflict, Revision: current.Revision, Message: "the key's revision is another"}
	}
	groupName := GroupOf(c.Name)
	group := s.Groups[groupName]
	put := Put{Name: c.Name, Value: c.Value, Revision: group.Revision + 1}
	if s.putBytes+put.storedBytes() > maxPutBytes {
		return Result{Code: Full, Message: "too much was put lately"}
	}
	group.Revision = put.Revision
	group.Oldest = max(group.Oldest, 1)
	s.Groups[groupName] = group
	s.GroupKeys[c.Name] = GroupKey{Value: c.Value, Revision: put.Revision}
	s.Puts = append(s.Puts, put)
	s.indexPut(put)
	return Result{Code: OK, Revision: put.Revision}
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
	compacted := 0
	for compacted < len(s.Puts) && s.CompactedPuts < c.To {
		put := s.Puts[compacted]
		groupName := GroupOf(put.Name)
		group := s.Groups[groupName]
		group.Oldest = put.Revision + 1
		s.Groups[groupName] = group
		if s.putsByGroup[groupName] = s.putsByGroup[groupName][1:]; len(s.putsByGroup[groupName]) == 0 {
			delete(s.putsByGroup, groupName)
		}
		delete(s.firstRevisions, putID(put.Name, put.Value))
		s.putBytes -= put.storedBytes()
		s.CompactedPuts++
		compacted++
	}
	if compacted > 0 {
		s.Puts = append([]Put(nil), s.Puts[compacted:]...)
	}
	return Result{Code: OK}
}

// After gives the puts of a group above a revision and the group's revision.
// False means that the history no longer reaches back so far.
func (s *State) After(groupName string, after uint64) ([]Change, uint64, bool) {
	group := s.Groups[groupName]
	if after+1 < group.Oldest {
		return nil, group.Revision, false
	}
	puts := s.putsByGroup[groupName]
	start := sort.Search(len(puts), func(i int) bool { return puts[i].Revision > after })
	var changes []Change
	for _, p := range puts[start:] {
		changes = append(changes, Change{Revision: p.Revision, Name: p.Name, Value: p.Value})
	}
	return changes, group.Revision, true
}
