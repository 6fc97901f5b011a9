// Package dialect is how the mesh speaks towards callers and workers: the names
// of the headers and the few manners in which tongues differ. The product's
// own tongue is the default; a deployment may bring another one.
package dialect

import "strings"

// Dialect is a table of header names and manners. An empty name means that the
// tongue has no such header.
type Dialect struct {
	Name           string
	RequestID      string // a job's id, on answers and towards the worker
	AttemptID      string // the id of one send; the worker gives it back
	Timeout        string // time left in milliseconds
	ExpectedWorker string // towards the worker: whom the send is meant for
	WorkerID       string // from the worker: who it is
	ResponseDigest string // from the worker: the stamp of a whole answer
	NotExecuted    string // from the worker: it did not run the job
	CallerService  string // towards the worker: the service at which the job began

	NotExecutedValue     string // the value that NotRun must have; empty: any
	VerifiesDigest       bool   // the stamp is a digest that can be checked; otherwise it is opaque
	IdentifiesConns      bool   // a new connection is asked who is there before it carries a job
	KeepsAttemptID       bool   // a job's attempts carry the id that its caller gave
	FractionalRetryAfter bool   // Retry-After may have fractions of a second
	WritesOwnHeaders     bool   // the mesh's own headers stand on answers

	// Calls gives, for the beginning of a call's path, the one of our own call.
	APIPaths map[string]string
}

// APIPath gives the path of our own call for one of the tongue's.
func (d Dialect) APIPath(path string) string {
	for from, to := range d.APIPaths {
		if rest, ok := strings.CutPrefix(path, from); ok {
			return to + rest
		}
	}
	return path
}

// Default is the product's own tongue.
var Default = Dialect{Name: "own", RequestID: "Puffin-Job", AttemptID: "Puffin-Attempt", Timeout: "Puffin-Left", ExpectedWorker: "Puffin-Worker",
	WorkerID: "Puffin-Worker", ResponseDigest: "Puffin-Seal", NotExecuted: "Puffin-Ran", NotExecutedValue: "no", CallerService: "Puffin-Caller",
	VerifiesDigest: true, IdentifiesConns: true, WritesOwnHeaders: true}
