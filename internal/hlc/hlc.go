// Package hlc is the hybrid logical clock: stamps that rise at each node
// whatever its wall clock does, and that follow what other nodes sent.
package hlc

import (
	"sync"
	"time"
)

// Timestamp orders events: the wall part in milliseconds, then a count.
type Timestamp struct {
	Wall  int64  `msgpack:"w" json:"wall"`
	Count uint32 `msgpack:"c" json:"count"`
}

// Less orders two stamps.
func (s Timestamp) Less(o Timestamp) bool {
	if s.Wall != o.Wall {
		return s.Wall < o.Wall
	}
	return s.Count < o.Count
}

// Clock gives rising stamps.
type Clock struct {
	mu   sync.Mutex
	wall func() time.Time
	last Timestamp
	far  time.Duration
}

// New makes a clock over a wall clock. A stamp seen from further ahead than
// far is not followed: one node's jump must not drag all the others along.
func New(wall func() time.Time, far time.Duration) *Clock {
	return &Clock{wall: wall, far: far}
}

// Now gives a stamp above all that this clock gave or saw.
func (c *Clock) Now() Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.wall().UnixMilli()
	if w > c.last.Wall {
		c.last = Timestamp{Wall: w}
	} else {
		// The wall stood still or went back: the count goes on.
		c.last.Count++
	}
	return c.last
}

// Observe follows a stamp that came from another node.
func (c *Clock) Observe(s Timestamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Wall-c.wall().UnixMilli() > c.far.Milliseconds() {
		return
	}
	if c.last.Less(s) {
		c.last = s
	}
}
