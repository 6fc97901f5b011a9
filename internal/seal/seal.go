// Package seal is what makes a worker's answer whole and its own: a SHA-256
// over attempt, worker identity, status and body.
package seal

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// The headers between the mesh and its workers and callers.
const (
	Job     = "Puffin-Job"     // a job's id
	Attempt = "Puffin-Attempt" // the id of one send
	Worker  = "Puffin-Worker"  // the worker's identity
	Left    = "Puffin-Left"    // time left in milliseconds
	Mark    = "Puffin-Seal"    // the seal
	Ran     = "Puffin-Ran"     // no, or unknown
	Why     = "Puffin-Why"     // the reason in words
	Version = "Puffin-Version" // the configuration that matched the job
)

// Of works out the seal. The parts are counted, so that none can run over
// into the next.
func Of(attempt, worker string, status int, body []byte) string {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%d:%s,%d:%s,%d,%d:", len(attempt), attempt, len(worker), worker, status, len(body))
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}
