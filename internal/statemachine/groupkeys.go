package statemachine

import (
	"sort"
	"strings"
)

// GroupKey is a key that belongs to a group, see GroupOf.
type GroupKey struct {
	Value    []byte `msgpack:"v"`
	Revision uint64 `msgpack:"r"`
}

// Group holds the revision counter that all keys of a group share.
type Group struct {
	Revision uint64 `msgpack:"r"`
	Oldest   uint64 `msgpack:"o"` // the lowest revision whose put is retained
}

// Put is one update in the history of a group.
type Put struct {
	Name     string `msgpack:"n"`
	Value    []byte `msgpack:"v"`
	Revision uint64 `msgpack:"r"`
}

// maxPutBytes bounds the size of the retained puts, which are part of every
// snapshot. A put beyond the bound is refused; no earlier put is dropped before its
// time.
const maxPutBytes = 4 << 20

// storedBytes is the size of a put against maxPutBytes, with 64 bytes of overhead.
func (p Put) storedBytes() int { return len(p.Name) + len(p.Value) + 64 }

// GroupOf returns the group of a key: its name up to and including the first dot,
// or the whole name if there is no dot.
func GroupOf(name string) string {
	if dot := strings.IndexByte(name, '.'); dot >= 0 {
		return name[:dot+1]
	}
	return name
}

// putID identifies a put by its key and value.
func putID(name string, value []byte) string { return name + "\x00" + string(value) }

// indexPut adds a retained put to the indexes that are derived from Puts.
func (s *State) indexPut(put Put) {
	group := GroupOf(put.Name)
	s.putsByGroup[group] = append(s.putsByGroup[group], put)
	s.firstRevisions[putID(put.Name, put.Value)] = put.Revision
	s.putBytes += put.storedBytes()
}

// PutGroupKey sets a key of a group. If If is set, the key's current revision must
// equal Revision, where 0 means that the key must not exist.
type PutGroupKey struct {
	Name     string `msgpack:"n"`
	Value    []byte `msgpack:"v"`
	If       bool   `msgpack:"i"`
	Revision uint64 `msgpack:"r"`
}

// Apply sets the key. A value that the key has or had before, as far as puts are
// retained, counts as a retry of the same put: the result is the revision it was
// given first, whatever was put since. This is checked before the condition, because
// the first arrival of the put has itself changed the key's revision.
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

// TotalPuts returns the number of puts ever applied in all groups.
func (s *State) TotalPuts() uint64 { return s.CompactedPuts + uint64(len(s.Puts)) }

// CompactPuts drops the oldest puts from the history. The leader decides by its own
// clock which puts are old enough, so that Apply needs no clock.
type CompactPuts struct {
	To uint64 `msgpack:"t"` // the number of puts to drop, counted from the first ever applied
}

// Apply drops the puts. The current value of a key is not affected.
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

// PutsAfter returns the puts of a group above a revision, and the group's current
// revision. It returns false if some of these puts have been compacted.
func (s *State) PutsAfter(groupName string, after uint64) ([]Change, uint64, bool) {
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
