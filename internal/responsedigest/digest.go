// Package responsedigest computes the digest that protects a worker's response against
// truncation and mix-up: a SHA-256 over attempt ID, worker ID, status and body.
package responsedigest

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
)

// The headers used between the mesh and its workers and callers.
const (
	RequestIDHeader     = "Puffin-Job"     // the request ID
	AttemptIDHeader     = "Puffin-Attempt" // the ID of one delivery attempt
	WorkerHeader        = "Puffin-Worker"  // the worker ID
	TimeoutHeader       = "Puffin-Left"    // the remaining time in milliseconds
	DigestHeader        = "Puffin-Seal"    // the response digest
	ExecutedHeader      = "Puffin-Ran"     // whether the request was executed: no or unknown
	ReasonHeader        = "Puffin-Why"     // the reason as text
	ConfigVersionHeader = "Puffin-Version" // the configuration version by which the request was routed
)

// Of computes the digest of a response, in hex. Each part is prefixed with its length, so
// that different parts can't yield the same input.
func Of(attempt, worker string, status int, body []byte) string {
	var buffer [256]byte
	input := buffer[:0]
	for _, s := range [...]string{attempt, worker} {
		input = strconv.AppendInt(input, int64(len(s)), 10)
		input = append(append(append(input, ':'), s...), ',')
	}
	input = append(strconv.AppendInt(input, int64(status), 10), ',')
	input = append(strconv.AppendInt(input, int64(len(body)), 10), ':')
	hash := sha256.New()
	hash.Write(input)
	hash.Write(body)
	return hex.EncodeToString(hash.Sum(buffer[:0]))
}
