// Package hlc is a hybrid logical clock: its timestamps increase strictly at each node,
// whatever the wall clock does, and exceed the timestamps received from other nodes.
package hlc

import (
	"sync"
	"time"
)

// Timestamp is a timestamp, ordered by wall time in milliseconds, then by a counter.
type Timestamp struct {
	Wall  int64  `msgpack:"w" json:"wall"`
	Count uint32 `msgpack:"c" json:"count"`
}

// Less reports whether s is before other.
func (s Timestamp) Less(other Timestamp) bool {
	if s.Wall != other.Wall {
		return s.Wall < other.Wall
	}
	return s.Count < other.Count
}

// Clock issues strictly increasing timestamps.
type Clock struct {
	mu       sync.Mutex
	wall     func() time.Time
	last     Timestamp
	maxAhead time.Duration
}

// New makes a clock over a wall clock. A received timestamp that is more than maxAhead in
// the future is ignored, so that a clock jump at one node doesn't spread to the others.
func New(wall func() time.Time, maxAhead time.Duration) *Clock {
	return &Clock{wall: wall, maxAhead: maxAhead}
}

// Now returns a timestamp above all that this clock has issued or accepted in Observe.
func (c *Clock) Now() Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := c.wall().UnixMilli()
	if wall > c.last.Wall {
		c.last = Timestamp{Wall: wall}
	} else {
		// The wall clock stood still or went back.
		c.last.Count++
	}
	return c.last
}

// Observe advances the clock to a timestamp received from another node.
func (c *Clock) Observe(s Timestamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Wall-c.wall().UnixMilli() > c.maxAhead.Milliseconds() {
		return
	}
	if c.last.Less(s) {
		c.last = s
	}
}
