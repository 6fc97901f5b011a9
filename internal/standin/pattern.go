package standin

import (
	"bytes"
	"crypto/sha256"
	"fmt"
)

// UniqueBody returns a body that is unique to one call, so that a chunk of another body, or a
// chunk in the wrong place, is noticed.
func UniqueBody(call string, size int) []byte {
	content := make([]byte, 0, size+sha256.Size)
	for block := 0; len(content) < size; block++ {
		sum := sha256.Sum256(fmt.Append(nil, call, block))
		content = append(content, sum[:]...)
	}
	// An answer separates its fields with this character.
	return bytes.ReplaceAll(content[:size], []byte("|"), []byte("/"))
}

// LongAnswer returns what a worker appends to its answer if a long one is requested: the digest of
// the request body that it received, and a body of its own.
func LongAnswer(call string, received []byte, want int) []byte {
	return fmt.Appendf(nil, " %x %s", sha256.Sum256(received), UniqueBody("answer to "+call, want))
}
