package task

// Lock is a lock that may be held while waiting for disk or network. It is a channel
// rather than a sync.Mutex, so that a goroutine waiting for it is durably blocked and
// the virtual time of testing/synctest advances.
type Lock struct{ token chan struct{} }

// NewLock makes an unlocked lock.
func NewLock() Lock { return Lock{make(chan struct{}, 1)} }

// Lock acquires the lock, waiting for it if need be.
func (l Lock) Lock() { l.token <- struct{}{} }

// Unlock releases the lock.
func (l Lock) Unlock() { <-l.token }

// TryLock acquires the lock if it is free, and reports whether it did.
func (l Lock) TryLock() bool {
	select {
	case l.token <- struct{}{}:
		return true
	default:
		return false
	}
}
