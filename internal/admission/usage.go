package admission

// ClassUsage is the use that one class makes of a worker's slots.
type ClassUsage struct {
	Share    int   `json:"share" msgpack:"s"`
	Used     int   `json:"used" msgpack:"u"`
	Borrowed int   `json:"borrowed" msgpack:"b"`
	Lent     int   `json:"lent" msgpack:"l"`
	Waiting  int   `json:"waiting" msgpack:"w"`
	Refused  int64 `json:"refused" msgpack:"r"`
	Served   int64 `json:"served" msgpack:"d"`
}

// Close stops admission at once: new and waiting requests are refused with
// Draining, running ones continue.
func (c *Controller) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.draining {
		c.draining = true
		close(c.closedForDrain)
	}
}

// Open resumes admission after Close.
func (c *Controller) Open() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining {
		c.draining = false
		c.closedForDrain = make(chan struct{})
	}
}

// Load returns the numbers of used slots, of waiting requests and of all slots.
func (c *Controller) Load() (used, waiting, slots int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, state := range c.classes {
		waiting += state.waiting()
	}
	return c.inUse, waiting, c.slots
}

// Usage returns the usage of each configured class.
func (c *Controller) Usage() map[string]ClassUsage {
	c.mu.Lock()
	defer c.mu.Unlock()
	usages := map[string]ClassUsage{}
	for class, state := range c.classes {
		if !state.configured {
			continue
		}
		usage := ClassUsage{Share: state.guaranteed, Used: state.used, Waiting: state.waiting(), Refused: state.refused, Served: state.served}
		usage.Borrowed = max(usage.Used-state.guaranteed, 0)
		usages[class] = usage
	}
	// Slots that classes hold above their shares are lent by the classes that leave
	// theirs idle.
	borrowed := 0
	for _, usage := range usages {
		borrowed += usage.Borrowed
	}
	for class, usage := range usages {
		idle := max(usage.Share-usage.Used, 0)
		usage.Lent = min(idle, borrowed)
		usages[class] = usage
	}
	return usages
}
