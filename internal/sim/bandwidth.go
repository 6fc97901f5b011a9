package sim

import (
	"net"
	"os"
	"slices"
	"time"
)

// sendBufferBytes is how many bytes a connection accepts that have not yet passed a thin
// link.
const sendBufferBytes = 16 << 10

// thinLink is a link of limited bandwidth, out of a host or from one zone to another. All
// senders share it, first come, first served.
type thinLink struct {
	bytesPerSecond int
	idleAt         time.Time // when the last byte accepted so far has passed
	bytesSent      int
}

// LimitHost limits the bandwidth of all traffic out of a host.
func (n *Net) LimitHost(hostName string, bytesPerSecond int) {
	n.mu.Lock()
	n.thinLinks[hostName] = &thinLink{bytesPerSecond: bytesPerSecond}
	n.mu.Unlock()
}

// Narrow limits the bandwidth of all traffic from one zone to another.
func (n *Net) Narrow(from, to string, bytesPerSecond int) {
	n.mu.Lock()
	n.thinLinks[from+">"+to] = &thinLink{bytesPerSecond: bytesPerSecond}
	n.mu.Unlock()
}

// Through returns the bytes sent so far over a link limited by Narrow.
func (n *Net) Through(from, to string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.thinLinks[from+">"+to].bytesSent
}

// thinLinkBetween returns the limited link between two hosts, or nil if there is none.
func (n *Net) thinLinkBetween(from, to string) *thinLink {
	if link := n.thinLinks[from]; link != nil && from != to {
		return link
	}
	if fromZone, toZone := n.zones[from], n.zones[to]; fromZone != toZone {
		return n.thinLinks[fromZone+">"+toZone]
	}
	return nil
}

// admitBytes returns how many of size bytes a connection accepts now, when the last of them
// has passed the thin link, and how long to wait if none is accepted.
func (n *Net) admitBytes(p *pipe, size int) (int, time.Time, time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	link := n.thinLinkBetween(p.from, p.peer)
	if link == nil {
		return size, now, 0
	}
	timePerByte := time.Second / time.Duration(link.bytesPerSecond)
	if link.idleAt.Before(now) {
		link.idleAt = now
	}
	p.sendBuffer = slices.DeleteFunc(p.sendBuffer, func(buffered bufferedBytes) bool { return !buffered.sentAt.After(now) })
	inBuffer := 0
	for _, buffered := range p.sendBuffer {
		inBuffer += buffered.size
	}
	if inBuffer >= sendBufferBytes {
		// Sockets wake blocked writers only when a part of the buffer is free.
		return 0, now, sendBufferBytes / 4 * timePerByte
	}
	size = min(size, sendBufferBytes-inBuffer)
	link.idleAt = link.idleAt.Add(time.Duration(size) * timePerByte)
	link.bytesSent += size
	p.sendBuffer = append(p.sendBuffer, bufferedBytes{size, link.idleAt})
	return size, link.idleAt, 0
}

// bufferedBytes is data in a connection's send buffer with the time at which it has passed
// the link.
type bufferedBytes struct {
	size   int
	sentAt time.Time
}

// Write blocks until everything is accepted or the deadline passes.
func (p *pipe) Write(data []byte) (int, error) {
	p.pauseGate.waitWhilePaused()
	written := 0
	for {
		p.mu.Lock()
		deadline := p.writeDeadline
		p.mu.Unlock()
		if !deadline.IsZero() && !time.Now().Before(deadline) {
			return written, os.ErrDeadlineExceeded
		}
		n, wait, err := p.send(data[written:])
		written += n
		if err != nil || written == len(data) {
			return written, err
		}
		if wait == 0 {
			continue
		}
		if !deadline.IsZero() {
			wait = min(wait, time.Until(deadline))
		}
		p.out.mu.Lock()
		wake := p.out.wake
		p.out.mu.Unlock()
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-wake:
		}
		timer.Stop()
	}
}

// Try writes what is accepted without blocking.
func (p *pipe) Try(data []byte) (int, error) {
	p.pauseGate.waitWhilePaused()
	n, _, err := p.send(data)
	return n, err
}

// send queues what the link accepts now. If that is nothing, it returns how long to wait.
func (p *pipe) send(data []byte) (int, time.Duration, error) {
	outgoing := p.out
	outgoing.mu.Lock()
	defer outgoing.mu.Unlock()
	if outgoing.err != nil {
		return 0, 0, outgoing.err
	}
	if outgoing.closed {
		return 0, 0, net.ErrClosed
	}
	n, sentAt, wait := p.net.admitBytes(p, len(data))
	if n == 0 {
		return 0, wait, nil
	}
	arrivesAt := sentAt.Add(p.net.delay(p.from, p.peer))
	// Order is kept: nothing arrives before data that was sent earlier.
	if n := len(outgoing.queue); n > 0 && outgoing.queue[n-1].arrivesAt.After(arrivesAt) {
		arrivesAt = outgoing.queue[n-1].arrivesAt
	}
	outgoing.queue = append(outgoing.queue, chunk{append([]byte(nil), data[:n]...), arrivesAt})
	p.net.countBytes(p.from, p.peer, n)
	outgoing.wakeAll()
	return n, 0, nil
}
