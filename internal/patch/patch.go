// Package patch computes the difference between two versions of a document, so that a change of one
// row of a long document is sent as that row. Steps are chained by digests: a step applies to
// exactly one document and produces exactly the next one.
package patch

import (
	"bytes"
	"crypto/sha256"

	"puffincrank/internal/fault"
)

// Op is a part of the new document: a range copied from the old one, or new bytes.
type Op struct {
	At  int    `msgpack:"a,omitempty"`
	Len int    `msgpack:"l,omitempty"`
	New []byte `msgpack:"n,omitempty"`
}

// Patch leads from one version to a later one.
type Patch struct {
	From   uint64 `msgpack:"f"`
	To     uint64 `msgpack:"t"`
	Base   []byte `msgpack:"b"` // digest of the old document
	Digest []byte `msgpack:"s"` // digest of the new document
	Ops    []Op   `msgpack:"o"`
}

// digest identifies a document. Half of a SHA-256 is enough against accidents, and there is no need
// to guard against forgery: whoever may send steps may send any document.
func digest(doc []byte) []byte {
	d := sha256.Sum256(doc)
	return d[:16]
}

// Size is the approximate encoded size of a step in bytes.
func (s Patch) Size() int {
	size := 64
	for _, op := range s.Ops {
		size += 12 + len(op.New)
	}
	return size
}

// splitRows splits a document after each closing brace or newline. No piece is longer than maxRow,
// so that a text without either is split too.
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

// Make computes the step between two documents.
func Make(from, to uint64, old, updated []byte) Patch {
	step := Patch{From: from, To: to, Base: digest(old), Digest: digest(updated)}
	// The common prefix and suffix are usually most of the document and need no search.
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

// copyRange adds a range of the old document, merged with the previous range if it continues that
// one.
func (s *Patch) copyRange(offset, length int) {
	if length == 0 {
		return
	}
	if count := len(s.Ops); count > 0 && s.Ops[count-1].New == nil && s.Ops[count-1].At+s.Ops[count-1].Len == offset {
		s.Ops[count-1].Len += length
		return
	}
	s.Ops = append(s.Ops, Op{At: offset, Len: length})
}

// addRow adds a row that occurs at the given offsets of the old document, or nowhere in it.
func (s *Patch) addRow(row []byte, offsets []int) {
	count := len(s.Ops)
	for _, offset := range offsets {
		// The offset at which the previous range ends is preferred, since it only extends that
		// range.
		if count > 0 && s.Ops[count-1].New == nil && s.Ops[count-1].At+s.Ops[count-1].Len == offset {
			s.copyRange(offset, len(row))
			return
		}
	}
	// Copying a short row as bytes is smaller than a reference to it.
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

// maxDocumentBytes is the size limit of a document that a step may produce.
const maxDocumentBytes = 64 << 20

// Apply returns the new document. An error means that the step does not fit the old one.
func (s Patch) Apply(old []byte) ([]byte, error) {
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
