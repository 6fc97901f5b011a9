// Package responsedigest is what makes a worker's answer whole and its own: a SHA-256
// over attempt, worker identity, status and body.
package responsedigest

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
)

// The headers between the mesh and its workers and callers.
const (
	RequestIDHeader     = "Puffin-Job"     // a job's id
	AttemptIDHeader     = "Puffin-Attempt" // the id of one send
	WorkerHeader        = "Puffin-Worker"  // the worker's identity
	TimeoutHeader       = "Puffin-Left"    // time left in milliseconds
	DigestHeader        = "Puffin-Seal"    // the seal
	ExecutedHeader      = "Puffin-Ran"     // no, or unknown
	ReasonHeader        = "Puffin-Why"     // the reason in words
	ConfigVersionHeader = "Puffin-Version" // the configuration that matched the job
)

// Of works out the seal. The parts are counted, so that none can run over
// into the next.
func Of(attempt, worker string, status int, body []byte) string {
	var room [256]byte
	b := room[:0]
	for _, s := range [...]string{attempt, worker} {
		b = strconv.AppendInt(b, int64(len(s)), 10)
		b = append(append(append(b, ':'), s...), ',')
	}
	b = append(strconv.AppendInt(b, int64(status), 10), ',')
	b = append(strconv.AppendInt(b, int64(len(body)), 10), ':')
	h := sha256.New()
	h.Write(b)
	h.Write(body)
	return hex.EncodeToString(h.Sum(room[:0]))
}
