package class

// Close shuts the room at once: nobody enters any more, those who wait are
// turned away, those inside go on.
func (r *Room) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.shut {
		r.shut = true
		close(r.closed)
	}
}

// Open lets jobs in again.
func (r *Room) Open() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.shut {
		r.shut = false
		r.closed = make(chan struct{})
	}
}

// Load gives the slots taken, the jobs waiting and the size.
func (r *Room) Load() (used, waiting, slots int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, q := range r.wait {
		waiting += len(q)
	}
	return r.total, waiting, r.slots
}

// Uses tells what each class has.
func (r *Room) Uses() map[string]Use {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]Use{}
	for c, f := range r.floor {
		u := Use{Share: f, Used: r.used[c], Waiting: len(r.wait[c]), Refused: r.no[c], Served: r.did[c]}
		u.Borrowed = max(u.Used-f, 0)
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
