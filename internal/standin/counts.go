package standin

// Under tells how many jobs it runs just now.
func (k *Worker) Under() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.now
}

// Ran tells how many jobs it ran.
func (k *Worker) Ran() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.runs
}

// Most tells how many jobs it ran at once at the most.
func (k *Worker) Most() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.most
}
