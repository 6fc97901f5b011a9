package transport

import "puffincrank/internal/fault"

// join puts the pieces of a body together; nil means that it isn't whole yet.
// What a fellow may have under way is bounded by what it says at the start of
// each, which is more than a queue holds; every piece has its toll.
func (l *link) join(f *frame) (*frame, error) {
	o := l.open[f.part]
	if f.rest < 0 {
		f.free()
		if o != nil {
			l.close(o)
		}
		return nil, nil
	}
	if o == nil {
		if f.rest > int64(l.n.MaxFrameBytes) {
			return nil, fault.New(fault.Input, "a body is over the bound")
		}
		o = &frame{head: f.head, end: f.end}
		l.open[f.part] = o
		l.held += len(f.body) + int(f.rest)
	} else if f.rest != o.rest-int64(len(f.body)) {
		return nil, fault.New(fault.Input, "a piece of a body is out of its place")
	}
	if l.held += toll; l.held > 3*l.n.MaxFrameBytes {
		return nil, fault.New(fault.Input, "bodies under way are over the bound")
	}
	o.rest = f.rest
	o.cuts = append(o.cuts, f)
	if o.rest > 0 {
		return nil, nil
	}
	// Joined once, when the size is known for good.
	whole := &room{make([]byte, 0, o.size())}
	for _, c := range o.cuts {
		whole.b = append(whole.b, c.body...)
	}
	l.close(o)
	o.room, o.body, o.part = whole, whole.b, 0
	return o, nil
}

// size is how long a body in pieces is, with what is still to come.
func (f *frame) size() int {
	n := int(f.rest)
	for _, c := range f.cuts {
		n += len(c.body)
	}
	return n
}

// close forgets a body that came in in pieces.
func (l *link) close(o *frame) {
	delete(l.open, o.part)
	l.held -= toll*len(o.cuts) + o.size()
	for _, c := range o.cuts {
		c.free()
	}
	o.cuts = nil
}
