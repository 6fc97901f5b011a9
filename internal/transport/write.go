package transport

import (
	"context"
	"errors"
	"os"
	"time"
)

// post queues a frame and writes it at once when nobody else is writing. False
// means that it certainly never went out. A receipt waits for room while the
// link stands, since it must not be lost to a full queue.
func (l *link) post(i *item, waits bool) bool {
	if i.lane == LaneControl && i.body.size() > piece {
		// Documents and lists of all entries take turns with the jobs: they
		// pass bulk, and must not hold up what is urgent.
		i.lane, i.vast = LaneRequests, true
	}
	l.used.Store(int64(l.n.now()))
	l.mu.Lock()
	for waits && !l.over && !l.q.fits(i, l.n.MaxFrameBytes) {
		l.slack.Wait()
	}
	// A fellow that said goodbye gets no more calls and casts of ours.
	if l.over || l.gone && !waits && i.kind != alive || !l.q.fits(i, l.n.MaxFrameBytes) || !waits && l.late(i) {
		l.mu.Unlock()
		i.body.free()
		return false
	}
	if i.lane == LaneBulk {
		i.born = l.n.now()
		l.q.flow.wake(i.born, l.n.SilenceTimeout)
	}
	l.q.push(i)
	l.tell()
	l.claim()
	l.pace()
	mine := l.mine()
	l.mu.Unlock()
	if mine {
		l.flush()
	}
	return true
}

// flush writes what waits, without waiting for the fellow: the second round
// takes what came up meanwhile. The rest is left to a goroutine of its own,
// so that no caller is held up by others' frames or by a full socket. Until
// the socket has shown that it takes more, a batch is one piece.
func (l *link) flush() {
	size := piece
	for range 2 {
		b := l.fill(size)
		if b == nil {
			return
		}
		n, err := l.conn.try(b.b)
		if err != nil {
			l.broke(n)
			return
		}
		if n < len(b.b) {
			l.hand(b, n)
			return
		}
		if n >= piece {
			size = batch
		}
		b.free()
	}
	if b := l.fill(piece); b != nil {
		l.hand(b, 0)
	}
}

func (l *link) hand(b *room, off int) {
	if !l.n.g.Go("link-write", func(context.Context) { l.push(b, off) }) {
		l.broke(off)
	}
}

// push writes until nothing waits. While the socket is full a batch is one
// piece, so that what is urgent passes the rest as early as it can, and on a
// slow link a piece is small. A fellow that takes nothing for the patience is
// given up.
func (l *link) push(b *room, off int) {
	var s brim
	for b != nil {
		n, err := l.conn.try(b.b[off:])
		off += n
		s.took(n, l.n.now(), l.n.SilenceTimeout)
		next := s.piece(l.n.SilenceTimeout / ease)
		if n >= piece {
			next = batch
		}
		for err == nil && off < len(b.b) {
			s.fills(l.n.now())
			_ = l.conn.SetWriteDeadline(time.Now().Add(l.n.SilenceTimeout))
			n, err = l.conn.Write(b.b[off:min(off+piece, len(b.b))])
			_ = l.conn.SetWriteDeadline(time.Time{})
			off += n
			s.took(n, l.n.now(), l.n.SilenceTimeout)
			next = s.piece(l.n.SilenceTimeout / ease)
			if n > 0 {
				// The socket had been full: that it takes more, if only some of
				// a piece in all that time, is a sign of life.
				l.conn.seen.Store(int64(l.n.now()))
				if errors.Is(err, os.ErrDeadlineExceeded) {
					err = nil
				}
			}
		}
		if err != nil {
			l.broke(off)
			return
		}
		b.free()
		b, off = l.fill(next), 0
	}
}

// tail tells where a call's last byte ends in the batch that is being written.
type tail struct {
	id  uint64
	end int
}

// fill packs the next batch, or says that nobody writes any more.
func (l *link) fill(most int) *room {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.over || l.q.n == 0 {
		l.busy = false
		return nil
	}
	b := rooms.Get().(*room)
	l.tails = l.tails[:0]
	for len(b.b) < most && l.pack(b, min(most, piece)) {
	}
	l.slack.Broadcast()
	if len(b.b) == 0 {
		// Bulk waits for the receipt of its mark, which wakes it.
		b.free()
		l.busy = false
		return nil
	}
	return b
}

// pack adds the next frame to a batch; false means that none may go out now.
func (l *link) pack(b *room, cut int) bool {
	l.prune()
	if l.far < pieces {
		cut = 0
	}
	i, n := l.q.take(cut)
	if i == nil {
		return false
	}
	size, from := i.body.size(), len(b.b)
	body := i.body.bytes(i.off-n, n)
	if n == size {
		b.b = i.head.write(b.b, body, false)
	} else {
		h := head{part: i.part}
		if i.off == n {
			l.parts++
			i.part = l.parts
			h = i.head
		}
		h.rest = int64(size - i.off)
		b.b = h.write(b.b, body, true)
	}
	l.count(i.kind+i.of, len(b.b)-from)
	if i.lane == LaneBulk {
		l.q.flow.went(len(b.b) - from)
		l.tell()
		l.pace()
	}
	if i.off < size {
		return true
	}
	if i.lane == LaneBulk {
		l.pass()
	}
	if i.turn != nil {
		i.turn.out, i.turn.item = true, nil
		l.tails = append(l.tails, tail{i.id, len(b.b)})
	}
	i.body.free()
	i.body = nil
	return true
}

// broke ends the link after a failed write of which n bytes were taken. Calls
// that end beyond them certainly did not go out.
func (l *link) broke(n int) {
	l.mu.Lock()
	for _, m := range l.tails {
		if t := l.wait[m.id]; t != nil && m.end > n {
			t.out = false
		}
	}
	l.over = true
	l.mu.Unlock()
	l.shut(endWriting)
}

// recall takes a call of ours back. True means that it certainly did not go
// out whole, and never will. The link's lock is held.
func (l *link) recall(t *turn) bool {
	i := t.item
	if t.item = nil; i == nil || l.over {
		return !t.out
	}
	l.q.drop(i)
	l.tell()
	l.spent()
	l.slack.Broadcast()
	if i.off > 0 {
		// The fellow holds pieces of it.
		l.q.push(&item{head: head{lane: i.lane, part: i.part, rest: -1}, of: i.kind})
	}
	i.body.free()
	i.body = nil
	return true
}
