// Package sim provides test doubles: an in-memory network and disk, and a whole fleet of
// proxies, workers, callers and control-plane machines under virtual time.
package sim

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// Net is an in-memory network with zones, delays, bandwidth limits and partitions.
type Net struct {
	mu             sync.Mutex
	listeners      map[string]*listener
	conns          map[*pipe]bool
	zones          map[string]string       // zone of each host
	cuts           map[[2]string]time.Time // time at which each direction was cut
	linksChanged   chan struct{}
	extraDelay     map[string]time.Duration // extra delay of all bytes from and to a host
	pauseGates     map[string]*pauseGate    // by process
	thinLinks      map[string]*thinLink     // limited links, by sending host or by "zone>zone"
	rnd            *rand.Rand
	nearDelay      time.Duration
	farDelay       time.Duration
	CrossZoneBytes int64 // bytes between zones
	SameZoneBytes  int64 // bytes between hosts of one zone
}

// NewNet creates a network with the given delays within and between zones.
func NewNet(seed uint64, nearDelay, farDelay time.Duration) *Net {
	return &Net{extraDelay: map[string]time.Duration{}, pauseGates: map[string]*pauseGate{}, thinLinks: map[string]*thinLink{}, listeners: map[string]*listener{}, conns: map[*pipe]bool{}, zones: map[string]string{},
		cuts: map[[2]string]time.Time{}, linksChanged: make(chan struct{}), rnd: rand.New(rand.NewPCG(seed, 7)), nearDelay: nearDelay, farDelay: farDelay}
}

func hostOf(address string) string { return address[:strings.LastIndexByte(address, ':')] }

// SetZone puts a host into a zone.
func (n *Net) SetZone(hostName, zone string) {
	n.mu.Lock()
	n.zones[hostName] = zone
	n.mu.Unlock()
}

func (n *Net) nextLinkChange() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.linksChanged
}

func (n *Net) delay(from, to string) time.Duration {
	if from == to {
		return 20 * time.Microsecond
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	d := n.nearDelay
	if n.zones[from] != n.zones[to] {
		d = n.farDelay
	}
	return d + n.extraDelay[from] + n.extraDelay[to] + time.Duration(n.rnd.Int64N(int64(d)/4+1))
}

// SetExtraDelay delays all bytes from and to a host.
func (n *Net) SetExtraDelay(hostName string, d time.Duration) {
	n.mu.Lock()
	n.extraDelay[hostName] = d
	n.mu.Unlock()
}

func (n *Net) countBytes(from, to string, size int) {
	n.mu.Lock()
	if n.zones[from] != n.zones[to] {
		n.CrossZoneBytes += int64(size)
	} else if from != to {
		n.SameZoneBytes += int64(size)
	}
	n.mu.Unlock()
}

// Host returns the network as seen by a host.
func (n *Net) Host(hostName string) *Host { return n.Process(hostName, "") }

// Process returns the network as seen by a process on a host. It blocks while the process
// is paused.
func (n *Net) Process(hostName, process string) *Host {
	gate := &pauseGate{}
	if process != "" {
		gate = n.pauseGate(process)
	}
	return &Host{net: n, name: hostName, pauseGate: gate}
}

// Host dials and listens on behalf of one host.
type Host struct {
	net       *Net
	name      string
	pauseGate *pauseGate
}

type listener struct {
	net       *Net
	pauseGate *pauseGate
	address   string
	incoming  chan *pipe
	done      chan struct{}
	once      sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.incoming:
		l.pauseGate.waitWhilePaused()
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}
func (l *listener) Addr() net.Addr { return addr(l.address) }
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.net.mu.Lock()
		if l.net.listeners[l.address] == l {
			delete(l.net.listeners, l.address)
		}
		l.net.mu.Unlock()
	})
	return nil
}

// Listen opens a port on this host.
func (h *Host) Listen(address string) (net.Listener, error) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if h.net.listeners[address] != nil {
		return nil, errors.New("address in use: " + address)
	}
	opened := &listener{net: h.net, pauseGate: h.pauseGate, address: address, incoming: make(chan *pipe, 256), done: make(chan struct{})}
	h.net.listeners[address] = opened
	return opened, nil
}

// Dial connects to a port. If either direction is cut, it blocks until the cut ends or the
// context does.
func (h *Host) Dial(ctx context.Context, address string) (net.Conn, error) {
	to := hostOf(address)
	for {
		h.pauseGate.waitWhilePaused()
		changed := h.net.nextLinkChange()
		if h.net.isOpen(h.name, to) && h.net.isOpen(to, h.name) {
			break
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-changed:
		}
	}
	timer := time.NewTimer(2 * h.net.delay(h.name, to))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-timer.C:
	}
	h.net.mu.Lock()
	accepting := h.net.listeners[address]
	h.net.mu.Unlock()
	if accepting == nil {
		return nil, errors.New("connection refused: " + address)
	}
	outbound, inbound := newStream(), newStream()
	near := &pipe{net: h.net, pauseGate: h.pauseGate, from: h.name, peer: to, in: inbound, out: outbound, deadlineChanged: make(chan struct{}), localAddr: addr(h.name + ":9"), remoteAddr: addr(address)}
	remote := &pipe{net: h.net, pauseGate: accepting.pauseGate, from: to, peer: h.name, in: outbound, out: inbound, deadlineChanged: make(chan struct{}), localAddr: addr(address), remoteAddr: addr(h.name + ":9")}
	h.net.mu.Lock()
	h.net.conns[near], h.net.conns[remote] = true, true
	near.observable = h.net.rnd.IntN(2) == 0
	h.net.mu.Unlock()
	select {
	case accepting.incoming <- remote:
		h.pauseGate.waitWhilePaused()
		return near, nil
	case <-accepting.done:
	case <-ctx.Done():
	}
	near.reset()
	return nil, errors.New("connection refused: " + address)
}

// Kill resets every connection and closes every port of a host.
func (n *Net) Kill(hostName string) {
	n.mu.Lock()
	var conns []*pipe
	var listeners []*listener
	for conn := range n.conns {
		if conn.from == hostName || conn.peer == hostName {
			conns = append(conns, conn)
		}
	}
	for address, accepting := range n.listeners {
		if hostOf(address) == hostName {
			listeners = append(listeners, accepting)
		}
	}
	n.mu.Unlock()
	for _, accepting := range listeners {
		_ = accepting.Close()
	}
	for _, conn := range conns {
		conn.reset()
	}
}
