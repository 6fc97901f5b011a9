package standin

import (
	"bytes"
	"crypto/sha256"
	"fmt"
)

// Pattern is a body that belongs to one call alone, so that a piece of another's
// in it, or a piece out of its place, shows.
func Pattern(call string, size int) []byte {
	content := make([]byte, 0, size+sha256.Size)
	for block := 0; len(content) < size; block++ {
		sum := sha256.Sum256(fmt.Append(nil, call, block))
		content = append(content, sum[:]...)
	}
	// It stands behind a text whose parts are divided by this sign.
	return bytes.ReplaceAll(content[:size], []byte("|"), []byte("/"))
}

// Whole is what a worker adds to its answer when it is asked for a long one: the
// digest of the body that came to it, and a body of its own.
func Whole(call string, received []byte, want int) []byte {
	return fmt.Appendf(nil, " %x %s", sha256.Sum256(received), Pattern("answer to "+call, want))
}
