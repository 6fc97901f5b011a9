package standin

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// watch watches all keys, and checks that every acknowledged change up to the last revision that
// it reached was seen once and in order.
func (c *CoordinationCallers) watch(runCtx context.Context) {
	from, lastRevision := uint64(1), uint64(0)
	seen := map[uint64]bool{}
	starting := true
	for runCtx.Err() == nil {
		response := c.request("GET", fmt.Sprintf("/puffin/watch?prefix=k/&from=%d&wait_ms=500", from), nil)
		if response.status == 410 && starting {
			from, starting = response.Oldest, false
			lastRevision = response.Oldest - 1
			continue
		}
		if response.status == 410 {
			c.observer.RecordViolation(WatchGap, fmt.Sprintf("the history at revision %d was trimmed during a watch", from))
			from = response.Oldest
			continue
		}
		if response.status != 200 {
			timer := time.NewTimer(20 * time.Millisecond)
			<-timer.C
			continue
		}
		starting = false
		for _, change := range response.Changes {
			if change.Rev <= lastRevision {
				c.observer.RecordViolation(WatchGap, fmt.Sprintf("revision %d after %d", change.Rev, lastRevision))
			}
			lastRevision = change.Rev
			seen[change.Rev] = true
		}
		if response.Next < from {
			c.observer.RecordViolation(WatchGap, fmt.Sprintf("next went from %d to %d", from, response.Next))
		}
		from = response.Next
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for rev := range c.ackedChanges {
		if rev < from && !seen[rev] && rev > 0 && len(seen) > 0 && rev >= lowestKey(seen) {
			c.observer.RecordViolation(WatchGap, fmt.Sprintf("revision %d was never seen", rev))
		}
	}
}

func lowestKey(set map[uint64]bool) uint64 {
	lowest := uint64(1 << 62)
	for key := range set {
		lowest = min(lowest, key)
	}
	return lowest
}

// HeldLocks returns the number of locks currently held.
func (c *CoordinationCallers) HeldLocks() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.held)
}

// Succeeded returns the number of calls that were answered with 200.
func (c *CoordinationCallers) Succeeded() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for outcome, k := range c.Outcomes {
		if strings.HasSuffix(outcome, " 200") {
			count += k
		}
	}
	return count
}
