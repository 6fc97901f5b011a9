package transport

import "puffincrank/internal/fault"

// reassemble puts the pieces of a body together; nil means that it isn't whole yet.
// What a fellow may have under way is bounded by what it says at the start of
// each, which is more than a queue holds; every piece has its toll.
func (l *link) reassemble(f *frame) (*frame, error) {
	partial := l.partial[f.bodyID]
	if f.remaining < 0 {
		f.release()
		if partial != nil {
			l.discardPartial(partial)
		}
		return nil, nil
	}
	if partial == nil {
		if f.remaining > int64(l.node.MaxFrameBytes) {
			return nil, fault.New(fault.Input, "a body is over the bound")
		}
		partial = &frame{head: f.head, deadline: f.deadline}
		l.partial[f.bodyID] = partial
		l.partialBytes += len(f.body) + int(f.remaining)
	} else if f.remaining != partial.remaining-int64(len(f.body)) {
		return nil, fault.New(fault.Input, "a piece of a body is out of its place")
	}
	if l.partialBytes += frameOverhead; l.partialBytes > 3*l.node.MaxFrameBytes {
		return nil, fault.New(fault.Input, "bodies under way are over the bound")
	}
	partial.remaining = f.remaining
	partial.chunks = append(partial.chunks, f)
	if partial.remaining > 0 {
		return nil, nil
	}
	// Joined once, when the size is known for good.
	joined := &buffer{make([]byte, 0, partial.bodySize())}
	for _, c := range partial.chunks {
		joined.b = append(joined.b, c.body...)
	}
	l.discardPartial(partial)
	partial.buf, partial.body, partial.bodyID = joined, joined.b, 0
	return partial, nil
}

// bodySize is how long a body in pieces is, with what is still to come.
func (f *frame) bodySize() int {
	size := int(f.remaining)
	for _, c := range f.chunks {
		size += len(c.body)
	}
	return size
}

// discardPartial forgets a body that came in in pieces.
func (l *link) discardPartial(partial *frame) {
	delete(l.partial, partial.bodyID)
	l.partialBytes -= frameOverhead*len(partial.chunks) + partial.bodySize()
	for _, c := range partial.chunks {
		c.release()
	}
	partial.chunks = nil
}
