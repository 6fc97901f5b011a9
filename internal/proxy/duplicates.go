package proxy

import "time"

// recordArrival notes an attempt; false means that it was here before.
func (x *Proxy) recordArrival(id string, remaining time.Duration) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if _, ok := x.seenAttempts[id]; ok {
		return false
	}
	// Longer than the attempt could still be under way anywhere.
	x.seenAttempts[id] = time.Now().Add(2*remaining + x.Settings.RecoveryBound)
	return true
}
