// Package version says what a program is and what it speaks.
package version

import (
	"fmt"

	"puffincrank/internal/paxos"
	"puffincrank/internal/transport"
)

// Number is the product's own version.
const Number = "v0.2.0"

// Line is what a program prints when it is asked for its version: two programs
// can be mixed in a roll when their wire versions overlap, and one can read a
// folder whose format is not above its own.
func Line(program string) string {
	return fmt.Sprintf("%s %s, wire %d to %d, files %d", program, Number, transport.MinVersion, transport.MaxVersion, paxos.Format)
}
