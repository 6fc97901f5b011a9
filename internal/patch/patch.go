// Package patch says what differs between two documents, so that a change of
// one row of a long document travels as that row. Steps are chained by digests:
// a step fits one document only, and what comes out is the very next one.
package patch

import (
	"bytes"
	"crypto/sha256"

	"puffincrank/internal/fault"
)

// Op is a piece of the new document: taken from the old one, or new.
type Op struct {
	At  int    `msgpack:"a,omitempty"`
	Len int    `msgpack:"l,omitempty"`
	New []byte `msgpack:"n,omitempty"`
}

// Patch leads from one version to a later one.
type Patch struct {
	From   uint64 `msgpack:"f"`
	To     uint64 `msgpack:"t"`
	Base   []byte `msgpack:"b"` // the digest of the old document
	Digest []byte `msgpack:"s"` // the digest of the new one
	Ops    []Op   `msgpack:"o"`
}

// digest names a document. Half of a SHA-256 is more than chance or a mistake
// needs; who may send documents may send any document.
func digest(doc []byte) []byte {
	d := sha256.Sum256(doc)
	return d[:16]
}

// Size is about what a step takes to travel.
func (s Patch) Size() int {
	n := 64
	for _, o := range s.Ops {
		n += 12 + len(o.New)
	}
	return n
}

// rows cuts a document where rows of JSON end, or lines; no row is longer than
// long, so that a text without any is cut too.
func rows(doc []byte) [][]byte {
	const long = 1024
	var out [][]byte
	for len(doc) > 0 {
		n := bytes.IndexAny(doc[:min(len(doc), long)], "}\n") + 1
		if n == 0 {
			n = min(len(doc), long)
		}
		out = append(out, doc[:n])
		doc = doc[n:]
	}
	return out
}

// Make works out the step between two documents.
func Make(from, to uint64, old, now []byte) Patch {
	s := Patch{From: from, To: to, Base: digest(old), Digest: digest(now)}
	// What is equal at both ends is most of it, and needs no search.
	head := 0
	for head < len(old) && head < len(now) && old[head] == now[head] {
		head++
	}
	tail := 0
	for tail < len(old)-head && tail < len(now)-head && old[len(old)-1-tail] == now[len(now)-1-tail] {
		tail++
	}
	s.take(0, head)
	at := map[string][]int{}
	pos := head
	for _, r := range rows(old[head : len(old)-tail]) {
		at[string(r)] = append(at[string(r)], pos)
		pos += len(r)
	}
	for _, r := range rows(now[head : len(now)-tail]) {
		s.row(r, at[string(r)])
	}
	s.take(len(old)-tail, tail)
	return s
}

// take adds a piece of the old document, to the last one if it goes on there.
func (s *Patch) take(at, long int) {
	if long == 0 {
		return
	}
	if n := len(s.Ops); n > 0 && s.Ops[n-1].New == nil && s.Ops[n-1].At+s.Ops[n-1].Len == at {
		s.Ops[n-1].Len += long
		return
	}
	s.Ops = append(s.Ops, Op{At: at, Len: long})
}

// row adds a row that stands at some places of the old document, or at none.
func (s *Patch) row(r []byte, at []int) {
	n := len(s.Ops)
	for _, a := range at {
		// Where the last piece ended is best: it makes that one longer.
		if n > 0 && s.Ops[n-1].New == nil && s.Ops[n-1].At+s.Ops[n-1].Len == a {
			s.take(a, len(r))
			return
		}
	}
	// A short row costs less than its place.
	if len(at) > 0 && len(r) > 16 {
		s.take(at[0], len(r))
		return
	}
	if n > 0 && s.Ops[n-1].New != nil {
		s.Ops[n-1].New = append(s.Ops[n-1].New, r...)
		return
	}
	s.Ops = append(s.Ops, Op{New: append([]byte(nil), r...)})
}

// most bounds a document that a step may make.
const most = 64 << 20

// Apply makes the new document from the old one; an error means that the step
// does not fit it.
func (s Patch) Apply(old []byte) ([]byte, error) {
	if !bytes.Equal(digest(old), s.Base) {
		return nil, fault.New(fault.Stale, "a step from %d begins at another document", s.From)
	}
	var out []byte
	for _, o := range s.Ops {
		if o.At < 0 || o.Len < 0 || o.At > len(old) || o.Len > len(old)-o.At || len(out)+o.Len+len(o.New) > most {
			return nil, fault.New(fault.Input, "a step to %d is out of bounds", s.To)
		}
		if o.New != nil {
			out = append(out, o.New...)
		} else {
			out = append(out, old[o.At:o.At+o.Len]...)
		}
	}
	if !bytes.Equal(digest(out), s.Digest) {
		return nil, fault.New(fault.Stale, "a step to %d ends at another document", s.To)
	}
	return out, nil
}
