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

// Step leads from one version to a later one.
type Step struct {
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
func (s Step) Size() int {
	size := 64
	for _, op := range s.Ops {
		size += 12 + len(op.New)
	}
	return size
}

// splitRows cuts a document where rows of JSON end, or lines; no row is longer than
// long, so that a text without any is cut too.
func splitRows(doc []byte) [][]byte {
	const maxRow = 1024
	var chunks [][]byte
	for len(doc) > 0 {
		length := bytes.IndexAny(doc[:min(len(doc), maxRow)], "}\n") + 1
		if length == 0 {
			length = min(len(doc), maxRow)
		}
		chunks = append(chunks, doc[:length])
		doc = doc[length:]
	}
	return chunks
}

// Make works out the step between two documents.
func Make(from, to uint64, old, updated []byte) Step {
	step := Step{From: from, To: to, Base: digest(old), Digest: digest(updated)}
	// What is equal at both ends is most of it, and needs no search.
	prefix := 0
	for prefix < len(old) && prefix < len(updated) && old[prefix] == updated[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < len(old)-prefix && suffix < len(updated)-prefix && old[len(old)-1-suffix] == updated[len(updated)-1-suffix] {
		suffix++
	}
	step.copyRange(0, prefix)
	offsets := map[string][]int{}
	offset := prefix
	for _, row := range splitRows(old[prefix : len(old)-suffix]) {
		offsets[string(row)] = append(offsets[string(row)], offset)
		offset += len(row)
	}
	for _, row := range splitRows(updated[prefix : len(updated)-suffix]) {
		step.addRow(row, offsets[string(row)])
	}
	step.copyRange(len(old)-suffix, suffix)
	return step
}

// copyRange adds a piece of the old document, to the last one if it goes on there.
func (s *Step) copyRange(offset, length int) {
	if length == 0 {
		return
	}
	if count := len(s.Ops); count > 0 && s.Ops[count-1].New == nil && s.Ops[count-1].At+s.Ops[count-1].Len == offset {
		s.Ops[count-1].Len += length
		return
	}
	s.Ops = append(s.Ops, Op{At: offset, Len: length})
}

// addRow adds a row that stands at some places of the old document, or at none.
func (s *Step) addRow(row []byte, offsets []int) {
	count := len(s.Ops)
	for _, offset := range offsets {
		// Where the last piece ended is best: it makes that one longer.
		if count > 0 && s.Ops[count-1].New == nil && s.Ops[count-1].At+s.Ops[count-1].Len == offset {
			s.copyRange(offset, len(row))
			return
		}
	}
	// A short row costs less than its place.
	if len(offsets) > 0 && len(row) > 16 {
		s.copyRange(offsets[0], len(row))
		return
	}
	if count > 0 && s.Ops[count-1].New != nil {
		s.Ops[count-1].New = append(s.Ops[count-1].New, row...)
		return
	}
	s.Ops = append(s.Ops, Op{New: append([]byte(nil), row...)})
}

// maxDocumentBytes bounds a document that a step may make.
const maxDocumentBytes = 64 << 20

// Apply makes the new document from the old one; an error means that the step
// does not fit it.
func (s Step) Apply(old []byte) ([]byte, error) {
	if !bytes.Equal(digest(old), s.Base) {
		return nil, fault.New(fault.Stale, "a step from %d begins at another document", s.From)
	}
	var result []byte
	for _, op := range s.Ops {
		if op.At < 0 || op.Len < 0 || op.At > len(old) || op.Len > len(old)-op.At || len(result)+op.Len+len(op.New) > maxDocumentBytes {
			return nil, fault.New(fault.Input, "a step to %d is out of bounds", s.To)
		}
		if op.New != nil {
			result = append(result, op.New...)
		} else {
			result = append(result, old[op.At:op.At+op.Len]...)
		}
	}
	if !bytes.Equal(digest(result), s.Digest) {
		return nil, fault.New(fault.Stale, "a step to %d ends at another document", s.To)
	}
	return result, nil
}
