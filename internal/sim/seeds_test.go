package sim

import (
	"iter"
	"os"
	"strconv"
	"testing"
)

// heavy leaves a test out of the run under the race detector, in which it would
// take minutes; the test command runs it without.
func heavy(t *testing.T) {
	t.Helper()
	if testing.Short() {
		t.Skip("in the run without the race detector")
	}
	t.Parallel()
}

// seeds gives the fixed seeds of CI, or as many as PUFFIN_SEEDS says.
func seeds(count uint64) iter.Seq[uint64] {
	n := count
	if s, err := strconv.ParseUint(os.Getenv("PUFFIN_SEEDS"), 10, 32); err == nil && s > 0 {
		n = s
	}
	return func(yield func(uint64) bool) {
		for i := range n {
			if !yield(i) {
				return
			}
		}
	}
}
