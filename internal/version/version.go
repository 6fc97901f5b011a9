// Package version holds the product's version and describes what a program is compatible
// with.
package version

import (
	"fmt"

	"puffincrank/internal/paxos"
	"puffincrank/internal/transport"
)

// Number is the version of the product.
const Number = "v0.2.0"

// Line is what a program prints for its version. Two programs can run together in a
// rolling upgrade if their wire version ranges overlap, and a program can read a data
// folder whose format isn't newer than its own.
func Line(program string) string {
	return fmt.Sprintf("%s %s, wire %d to %d, files %d", program, Number, transport.MinVersion, transport.MaxVersion, paxos.Format)
}
