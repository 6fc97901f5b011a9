package task

// Lock is a lock that may be held over a wait for disk or network. It is made
// of a channel, so that virtual time goes on while somebody waits for it.
type Lock struct{ token chan struct{} }

// NewLock makes a free lock.
func NewLock() Lock { return Lock{make(chan struct{}, 1)} }

// Lock takes it.
func (l Lock) Lock() { l.token <- struct{}{} }

// Unlock gives it back.
func (l Lock) Unlock() { <-l.token }

// TryLock takes it if it is free.
func (l Lock) TryLock() bool {
	select {
	case l.token <- struct{}{}:
		return true
	default:
		return false
	}
}
