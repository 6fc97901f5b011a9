package standin

// Executing returns the number of requests being executed.
func (worker *Worker) Executing() int {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	return worker.executing
}

// Ran returns the number of requests that the worker began to execute.
func (worker *Worker) Ran() int {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	return worker.executions
}

// Peak returns the highest number of requests that were executed at the same time.
func (worker *Worker) Peak() int {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	return worker.peak
}
