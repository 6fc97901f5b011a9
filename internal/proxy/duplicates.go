package proxy

import "time"

// recordArrival records the ID of an attempt; it returns false if the attempt arrived before.
func (x *Proxy) recordArrival(id string, remaining time.Duration) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if _, ok := x.seenAttempts[id]; ok {
		return false
	}
	// Longer than the attempt could still be in progress anywhere.
	x.seenAttempts[id] = time.Now().Add(2*remaining + x.Settings.RecoveryBound)
	return true
}
