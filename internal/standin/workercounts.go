package standin

// Under tells how many jobs it runs just now.
func (k *Worker) Under() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.executing
}

// Ran tells how many jobs it ran.
func (k *Worker) Ran() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.runs
}

// Peak tells how many jobs it ran at once at the most.
func (k *Worker) Peak() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.peak
}
