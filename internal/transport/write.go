package transport

import (
	"context"
	"errors"
	"os"
	"time"
)

// enqueue queues a frame and writes it at once if nobody else is writing. False means that the
// frame was certainly not sent and never will be. With wait set, as for responses, it waits
// for queue capacity while the link is open, so that a full queue does not lose the frame.
func (l *link) enqueue(queued *queuedFrame, wait bool) bool {
	if queued.lane == LaneControl && queued.body.size() > maxChunk {
		// Documents and lists of all entries are scheduled with the requests: they overtake
		// bulk, but must not delay urgent frames.
		queued.lane, queued.largeControl = LaneRequests, true
	}
	l.lastUsed.Store(int64(l.node.now()))
	l.mu.Lock()
	for wait && !l.ended && !l.queue.fits(queued, l.node.MaxFrameBytes) {
		l.queueSpace.Wait()
	}
	// A peer that said goodbye gets no more calls and one-way messages.
	if l.ended || l.peerLeaving && !wait && queued.kind != pingKind || !l.queue.fits(queued, l.node.MaxFrameBytes) || !wait && l.wouldMissDeadline(queued) {
		l.mu.Unlock()
		queued.body.release()
		return false
	}
	if queued.lane == LaneBulk {
		queued.queuedAt = l.node.now()
		l.queue.congestion.resumeFromIdle(queued.queuedAt, l.node.SilenceTimeout)
	}
	l.queue.push(queued)
	l.reportBacklog()
	l.requestTurn()
	l.sendDueProbe()
	claimed := l.claimWriter()
	l.mu.Unlock()
	if claimed {
		l.flush()
	}
	return true
}

// flush writes queued frames without blocking on the peer; the second round takes what was
// queued meanwhile. The rest is left to a separate goroutine, so that no caller is delayed
// by frames of others or by a full socket. Until the socket has accepted a whole chunk, a
// batch is one chunk.
func (l *link) flush() {
	limit := maxChunk
	for range 2 {
		batch := l.nextBatch(limit)
		if batch == nil {
			return
		}
		n, err := l.conn.tryWrite(batch.b)
		if err != nil {
			l.writeFailed(n)
			return
		}
		if n < len(batch.b) {
			l.writeInBackground(batch, n)
			return
		}
		if n >= maxChunk {
			limit = maxBatch
		}
		batch.release()
	}
	if batch := l.nextBatch(maxChunk); batch != nil {
		l.writeInBackground(batch, 0)
	}
}

func (l *link) writeInBackground(batch *buffer, offset int) {
	if !l.node.tasks.Go("link-write", func(context.Context) { l.writeLoop(batch, offset) }) {
		l.writeFailed(offset)
	}
}

// writeLoop writes until the queue is empty. While the socket is full, a batch is one
// chunk, so that urgent frames overtake the rest as early as possible, and on a slow link
// chunks are small. If the peer accepts nothing for the silence timeout, the link ends.
func (l *link) writeLoop(batch *buffer, offset int) {
	var rate drainRate
	for batch != nil {
		n, err := l.conn.tryWrite(batch.b[offset:])
		offset += n
		rate.recordWrite(n, l.node.now(), l.node.SilenceTimeout)
		limit := rate.chunkSize(l.node.SilenceTimeout / delayDivisor)
		if n >= maxChunk {
			limit = maxBatch
		}
		for err == nil && offset < len(batch.b) {
			rate.socketFull(l.node.now())
			_ = l.conn.SetWriteDeadline(time.Now().Add(l.node.SilenceTimeout))
			n, err = l.conn.Write(batch.b[offset:min(offset+maxChunk, len(batch.b))])
			_ = l.conn.SetWriteDeadline(time.Time{})
			offset += n
			rate.recordWrite(n, l.node.now(), l.node.SilenceTimeout)
			limit = rate.chunkSize(l.node.SilenceTimeout / delayDivisor)
			if n > 0 {
				// The socket was full. That it accepts more bytes, even if only part of a
				// chunk in all that time, is a sign of life.
				l.conn.lastRead.Store(int64(l.node.now()))
				if errors.Is(err, os.ErrDeadlineExceeded) {
					err = nil
				}
			}
		}
		if err != nil {
			l.writeFailed(offset)
			return
		}
		batch.release()
		batch, offset = l.nextBatch(limit), 0
	}
}

// callEnd is the offset at which a call's last byte ends in the batch that is being written.
type callEnd struct {
	id  uint64
	end int
}

// nextBatch encodes the next batch; nil means that nobody is writing any more.
func (l *link) nextBatch(limit int) *buffer {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended || l.queue.count == 0 {
		l.writing = false
		return nil
	}
	batch := buffers.Get().(*buffer)
	l.callEnds = l.callEnds[:0]
	for len(batch.b) < limit && l.appendNext(batch, min(limit, maxChunk)) {
	}
	l.queueSpace.Broadcast()
	if len(batch.b) == 0 {
		// Bulk waits for the response to its probe, which resumes it.
		batch.release()
		l.writing = false
		return nil
	}
	return batch
}

// appendNext appends the next frame to a batch; false means that none may be sent now.
func (l *link) appendNext(batch *buffer, maxSize int) bool {
	l.dropExpiredResponses()
	if l.version < chunkedVersion {
		maxSize = 0
	}
	queued, n := l.queue.takeChunk(maxSize)
	if queued == nil {
		return false
	}
	size, start := queued.body.size(), len(batch.b)
	body := queued.body.bytes(queued.offset-n, n)
	if n == size {
		batch.b = queued.head.appendTo(batch.b, body, false)
	} else {
		header := head{bodyID: queued.bodyID}
		if queued.offset == n {
			l.lastBodyID++
			queued.bodyID = l.lastBodyID
			header = queued.head
		}
		header.remaining = int64(size - queued.offset)
		batch.b = header.appendTo(batch.b, body, true)
	}
	l.countSent(queued.kind+queued.responseTo, len(batch.b)-start)
	if queued.lane == LaneBulk {
		l.queue.congestion.recordSent(len(batch.b) - start)
		l.reportBacklog()
		l.sendDueProbe()
	}
	if queued.offset < size {
		return true
	}
	if queued.lane == LaneBulk {
		l.passTurn()
	}
	if queued.call != nil {
		queued.call.written, queued.call.queued = true, nil
		l.callEnds = append(l.callEnds, callEnd{queued.id, len(batch.b)})
	}
	queued.body.release()
	queued.body = nil
	return true
}

// writeFailed ends the link after a failed write. Calls that end beyond the written bytes
// were certainly not sent.
func (l *link) writeFailed(written int) {
	l.mu.Lock()
	for _, last := range l.callEnds {
		if call := l.pending[last.id]; call != nil && last.end > written {
			call.written = false
		}
	}
	l.ended = true
	l.mu.Unlock()
	l.terminate(endWriting)
}

// withdraw takes a call of this node back. True means that it was certainly not written in
// full and never will be. The link's lock is held.
func (l *link) withdraw(call *pendingCall) bool {
	queued := call.queued
	if call.queued = nil; queued == nil || l.ended {
		return !call.written
	}
	l.queue.remove(queued)
	l.reportBacklog()
	l.passTurnIfIdle()
	l.queueSpace.Broadcast()
	if queued.offset > 0 {
		// The peer holds chunks of it, which this frame makes it discard.
		l.queue.push(&queuedFrame{head: head{lane: queued.lane, bodyID: queued.bodyID, remaining: -1}, responseTo: queued.kind})
	}
	queued.body.release()
	queued.body = nil
	return true
}
