package admission

// ClassUsage is what one class has of a worker.
type ClassUsage struct {
	Share    int   `json:"share" msgpack:"s"`
	Used     int   `json:"used" msgpack:"u"`
	Borrowed int   `json:"borrowed" msgpack:"b"`
	Lent     int   `json:"lent" msgpack:"l"`
	Waiting  int   `json:"waiting" msgpack:"w"`
	Refused  int64 `json:"refused" msgpack:"r"`
	Served   int64 `json:"served" msgpack:"d"`
}

// Close shuts the room at once: nobody enters any more, those who wait are
// turned away, those inside go on.
func (r *Controller) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.shut {
		r.shut = true
		close(r.closed)
	}
}

// Open lets jobs in again.
func (r *Controller) Open() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.shut {
		r.shut = false
		r.closed = make(chan struct{})
	}
}

// Load gives the slots taken, the jobs waiting and the size.
func (r *Controller) Load() (used, waiting, slots int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.lots {
		waiting += l.waits()
	}
	return r.total, waiting, r.slots
}

// Usage tells what each class has.
func (r *Controller) Usage() map[string]ClassUsage {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]ClassUsage{}
	for c, l := range r.lots {
		if !l.known {
			continue
		}
		u := ClassUsage{Share: l.floor, Used: l.used, Waiting: l.waits(), Refused: l.no, Served: l.did}
		u.Borrowed = max(u.Used-l.floor, 0)
		out[c] = u
	}
	// What is lent is what others hold above their shares, taken from the
	// classes that leave theirs idle.
	borrowed := 0
	for _, u := range out {
		borrowed += u.Borrowed
	}
	for c, u := range out {
		idle := max(u.Share-u.Used, 0)
		u.Lent = min(idle, borrowed)
		out[c] = u
	}
	return out
}
