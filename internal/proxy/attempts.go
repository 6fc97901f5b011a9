package proxy

import "time"

// meet notes an attempt; false means that it was here before.
func (x *Proxy) meet(id string, left time.Duration) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if _, ok := x.met[id]; ok {
		return false
	}
	// Longer than the attempt could still be under way anywhere.
	x.met[id] = time.Now().Add(2*left + x.Settings.RecoveryBound)
	return true
}
