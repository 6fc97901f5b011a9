package standin

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// watch follows all keys and checks at the end that every acknowledged change
// up to where it got was seen once, in order.
func (c *Coord) watch(stop context.Context) {
	from, last := uint64(1), uint64(0)
	seen := map[uint64]bool{}
	first := true
	for stop.Err() == nil {
		got := c.ask("GET", fmt.Sprintf("/puffin/watch?prefix=k/&from=%d&wait_ms=500", from), nil)
		if got.code == 410 && first {
			from, first = got.Old, false
			last = got.Old - 1
			continue
		}
		if got.code == 410 {
			c.obs.Blame(WatchGap, fmt.Sprintf("the history at %d went away under a watch", from))
			from = got.Old
			continue
		}
		if got.code != 200 {
			t := time.NewTimer(20 * time.Millisecond)
			<-t.C
			continue
		}
		first = false
		for _, e := range got.List {
			if e.Rev <= last {
				c.obs.Blame(WatchGap, fmt.Sprintf("revision %d after %d", e.Rev, last))
			}
			last = e.Rev
			seen[e.Rev] = true
		}
		if got.Next < from {
			c.obs.Blame(WatchGap, fmt.Sprintf("next went from %d to %d", from, got.Next))
		}
		from = got.Next
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for rev := range c.puts {
		if rev < from && !seen[rev] && rev > 0 && len(seen) > 0 && rev >= minKey(seen) {
			c.obs.Blame(WatchGap, fmt.Sprintf("revision %d was never seen", rev))
		}
	}
}

func minKey(m map[uint64]bool) uint64 {
	low := uint64(1 << 62)
	for k := range m {
		low = min(low, k)
	}
	return low
}

// Held counts the locks that clients hold just now.
func (c *Coord) Held() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.held)
}

// Count counts the calls that were answered 200.
func (c *Coord) Count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for what, k := range c.Done {
		if strings.HasSuffix(what, " 200") {
			n += k
		}
	}
	return n
}
