// Package dialect is how the mesh speaks towards callers and workers: the names
// of the headers and the few manners in which tongues differ. The product's
// own tongue is the default; a deployment may bring another one.
package dialect

import "strings"

// Tongue is a table of header names and manners. An empty name means that the
// tongue has no such header.
type Tongue struct {
	Name    string
	Job     string // a job's id, on answers and towards the worker
	Attempt string // the id of one send; the worker gives it back
	Left    string // time left in milliseconds
	Expect  string // towards the worker: whom the send is meant for
	Named   string // from the worker: who it is
	Mark    string // from the worker: the stamp of a whole answer
	NotRun  string // from the worker: it did not run the job
	Caller  string // towards the worker: the service at which the job began

	NotRunIs string // the value that NotRun must have; empty: any
	Digest   bool   // the stamp is a digest that can be checked; otherwise it is opaque
	Asks     bool   // a new connection is asked who is there before it carries a job
	Keeps    bool   // a job's attempts carry the id that its caller gave
	Fine     bool   // Retry-After may have fractions of a second
	Marks    bool   // the mesh's own headers stand on answers

	// Calls gives, for the beginning of a call's path, the one of our own call.
	Calls map[string]string
}

// Call gives the path of our own call for one of the tongue's.
func (t Tongue) Call(path string) string {
	for from, to := range t.Calls {
		if rest, ok := strings.CutPrefix(path, from); ok {
			return to + rest
		}
	}
	return path
}

// Own is the product's own tongue.
var Own = Tongue{Name: "own", Job: "Puffin-Job", Attempt: "Puffin-Attempt", Left: "Puffin-Left", Expect: "Puffin-Worker",
	Named: "Puffin-Worker", Mark: "Puffin-Seal", NotRun: "Puffin-Ran", NotRunIs: "no", Caller: "Puffin-Caller",
	Digest: true, Asks: true, Marks: true}
