// Package hlc is the hybrid logical clock: stamps that rise at each node
// whatever its wall clock does, and that follow what other nodes sent.
package hlc

import (
	"sync"
	"time"
)

// Stamp orders events: the wall part in milliseconds, then a count.
type Stamp struct {
	Wall  int64  `msgpack:"w" json:"wall"`
	Count uint32 `msgpack:"c" json:"count"`
}

// Less orders two stamps.
func (s Stamp) Less(other Stamp) bool {
	if s.Wall != other.Wall {
		return s.Wall < other.Wall
	}
	return s.Count < other.Count
}

// Clock gives rising stamps.
type Clock struct {
	mu       sync.Mutex
	wall     func() time.Time
	last     Stamp
	maxAhead time.Duration
}

// New makes a clock over a wall clock. A stamp seen from further ahead than
// far is not followed: one node's jump must not drag all the others along.
func New(wall func() time.Time, maxAhead time.Duration) *Clock {
	return &Clock{wall: wall, maxAhead: maxAhead}
}

// Now gives a stamp above all that this clock gave or saw.
func (c *Clock) Now() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := c.wall().UnixMilli()
	if wall > c.last.Wall {
		c.last = Stamp{Wall: wall}
	} else {
		// The wall stood still or went back: the count goes on.
		c.last.Count++
	}
	return c.last
}

// Observe follows a stamp that came from another node.
func (c *Clock) Observe(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Wall-c.wall().UnixMilli() > c.maxAhead.Milliseconds() {
		return
	}
	if c.last.Less(s) {
		c.last = s
	}
}
