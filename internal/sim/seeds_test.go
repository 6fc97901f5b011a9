package sim

import (
	"iter"
	"os"
	"strconv"
	"testing"
)

// skipUnderRace skips a test in short mode, which is used with the race detector, where it
// would take minutes, and marks it parallel. The test command runs it without the
// race detector.
func skipUnderRace(t *testing.T) {
	t.Helper()
	if testing.Short() {
		t.Skip("runs only without the race detector")
	}
	t.Parallel()
}

// seeds yields the seeds from 0 to count-1 that CI uses, or as many as PUFFIN_SEEDS says.
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
