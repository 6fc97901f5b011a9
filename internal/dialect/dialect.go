// Package dialect describes the HTTP conventions between the mesh and its callers and
// workers: the names of the headers and a few rules of behavior. Deployments can replace
// the default dialect by another one.
package dialect

import "strings"

// Dialect is a set of header names and rules. An empty name means that the dialect has no
// such header.
type Dialect struct {
	Name           string
	RequestID      string // the request ID, on responses and towards the worker
	AttemptID      string // the ID of one delivery attempt; the worker returns it
	Timeout        string // the remaining time in milliseconds
	ExpectedWorker string // towards the worker: the worker that the attempt is meant for
	WorkerID       string // from the worker: its ID
	ResponseDigest string // from the worker: the digest of a complete response
	NotExecuted    string // from the worker: it did not execute the request
	CallerService  string // towards the worker: the service beside the ingress, from which the request came

	NotExecutedValue     string // the value that NotExecuted must have; empty: any
	VerifiesDigest       bool   // the digest is computed by responsedigest.Of and checked; otherwise it is opaque
	IdentifiesConns      bool   // the worker's identity is checked on a new connection before its first request
	KeepsAttemptID       bool   // all attempts of a request carry the ID that its caller gave
	FractionalRetryAfter bool   // Retry-After may be a fraction of seconds
	WritesOwnHeaders     bool   // responses carry the mesh's own headers

	// APIPaths maps prefixes of the dialect's API paths to those of the native API.
	APIPaths map[string]string
}

// APIPath returns the native API path for one of the dialect's; others stay unchanged.
func (d Dialect) APIPath(path string) string {
	for from, to := range d.APIPaths {
		if rest, ok := strings.CutPrefix(path, from); ok {
			return to + rest
		}
	}
	return path
}

// Default is the native dialect.
var Default = Dialect{Name: "own", RequestID: "Puffin-Job", AttemptID: "Puffin-Attempt", Timeout: "Puffin-Left", ExpectedWorker: "Puffin-Worker",
	WorkerID: "Puffin-Worker", ResponseDigest: "Puffin-Seal", NotExecuted: "Puffin-Ran", NotExecutedValue: "no", CallerService: "Puffin-Caller",
	VerifiesDigest: true, IdentifiesConns: true, WritesOwnHeaders: true}
