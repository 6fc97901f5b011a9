package transport

import "puffincrank/internal/fault"

// reassemble joins the chunks of a body; it returns nil while the body is incomplete. The
// bytes that a peer may have in transfer are limited by the sizes announced with the first
// chunks, and the limit is larger than what a queue holds. Each chunk counts frameOverhead
// bytes on top.
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
			return nil, fault.New(fault.Input, "body exceeds the frame limit")
		}
		partial = &frame{head: f.head, deadline: f.deadline}
		l.partial[f.bodyID] = partial
		l.partialBytes += len(f.body) + int(f.remaining)
	} else if f.remaining != partial.remaining-int64(len(f.body)) {
		return nil, fault.New(fault.Input, "chunk of a body is out of order")
	}
	if l.partialBytes += frameOverhead; l.partialBytes > 3*l.node.MaxFrameBytes {
		return nil, fault.New(fault.Input, "incomplete bodies exceed their limit")
	}
	partial.remaining = f.remaining
	partial.chunks = append(partial.chunks, f)
	if partial.remaining > 0 {
		return nil, nil
	}
	// Joined only once, when the final size is known.
	joined := &buffer{make([]byte, 0, partial.bodySize())}
	for _, c := range partial.chunks {
		joined.b = append(joined.b, c.body...)
	}
	l.discardPartial(partial)
	partial.buf, partial.body, partial.bodyID = joined, joined.b, 0
	return partial, nil
}

// bodySize returns the size of a body in chunks, including the bytes still to come.
func (f *frame) bodySize() int {
	size := int(f.remaining)
	for _, c := range f.chunks {
		size += len(c.body)
	}
	return size
}

// discardPartial releases a body that was received in chunks.
func (l *link) discardPartial(partial *frame) {
	delete(l.partial, partial.bodyID)
	l.partialBytes -= frameOverhead*len(partial.chunks) + partial.bodySize()
	for _, c := range partial.chunks {
		c.release()
	}
	partial.chunks = nil
}
