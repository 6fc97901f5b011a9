package transport

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"puffincrank/internal/env"
	"puffincrank/internal/fault"
)

// LocalNetwork carries messages between nodes of one process without connections: the
// buffers and goroutines of links would be too many for thousands of nodes. Messages are
// encoded, counted and decoded as on a link.
type LocalNetwork struct {
	mu           sync.RWMutex
	nodes        map[string]*Node
	delay        func(from, to string) time.Duration // between two zones, one way
	partitioned  func(from, to string) bool          // between two zones
	unresponsive map[string]bool                     // addresses of machines that do not answer
	observe      func(role, kind string, run func())
}

// localEndpoint is the state of a node on a LocalNetwork, in place of links.
type localEndpoint struct {
	network       *LocalNetwork // nil: the node uses links
	lastCallID    atomic.Uint64
	addr          string
	contacted     map[string]bool
	bytesReceived atomic.Int64
}

// NewLocalNetwork creates a network with the given delay between zones, one way.
func NewLocalNetwork(delay func(from, to string) time.Duration) *LocalNetwork {
	return &LocalNetwork{nodes: map[string]*Node{}, unresponsive: map[string]bool{}, delay: delay}
}

// SetPartition sets which zones cannot reach each other; nil: all can.
func (r *LocalNetwork) SetPartition(partitioned func(from, to string) bool) {
	r.mu.Lock()
	r.partitioned = partitioned
	r.mu.Unlock()
}

// SetUnresponsive sets whether connections to an address time out instead of being refused.
func (r *LocalNetwork) SetUnresponsive(addr string, unresponsive bool) {
	r.mu.Lock()
	r.unresponsive[addr] = unresponsive
	r.mu.Unlock()
}

// SetObserver sets a function that runs and measures all handlers, before any node joins.
func (r *LocalNetwork) SetObserver(run func(role, kind string, run func())) { r.observe = run }

// LocalNet is the env.Net of a process on a LocalNetwork; other ports use the inner Net.
type LocalNet struct {
	env.Net
	Network *LocalNetwork
}

func (r *LocalNetwork) register(addr string, n *Node) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.nodes[addr] != nil {
		return fault.New(fault.Closed, "address in use: %s", addr)
	}
	r.nodes[addr] = n
	n.addr = addr
	return nil
}

// Nodes returns all nodes on the network.
func (r *LocalNetwork) Nodes() []*Node {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var nodes []*Node
	for _, n := range r.nodes {
		nodes = append(nodes, n)
	}
	return nodes
}

// NodeAt returns the node at an address, nil if there is none.
func (r *LocalNetwork) NodeAt(addr string) *Node {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.nodes[addr]
}

func (r *LocalNetwork) unregister(n *Node) {
	r.mu.Lock()
	if r.nodes[n.addr] == n {
		delete(r.nodes, n.addr)
	}
	r.mu.Unlock()
}

// travel waits for the one-way delay to addr and returns the node there.
func (r *LocalNetwork) travel(ctx context.Context, n *Node, addr string) (*Node, error) {
	r.mu.RLock()
	peer, partitioned, unresponsive := r.nodes[addr], r.partitioned, r.unresponsive[addr]
	r.mu.RUnlock()
	if unresponsive {
		sleep(ctx, n.SilenceTimeout)
		return nil, fault.New(fault.Unsent, "no link to %s in time", addr)
	}
	if peer == nil {
		return nil, fault.New(fault.Unsent, "connection refused: %s", addr)
	}
	if partitioned != nil && partitioned(n.Self.Zone, peer.Self.Zone) {
		sleep(ctx, n.SilenceTimeout)
		return nil, fault.New(fault.Unsent, "no link to %s in time", addr)
	}
	n.recordContact(addr)
	peer.recordContact(n.addr)
	if !sleep(ctx, r.delay(n.Self.Zone, peer.Self.Zone)) {
		return nil, fault.New(fault.Unknown, "no receipt from %s in time", addr)
	}
	return peer, nil
}

func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (n *Node) recordContact(addr string) {
	n.mu.Lock()
	if n.contacted == nil {
		n.contacted = map[string]bool{}
	}
	n.contacted[addr] = true
	n.mu.Unlock()
}

// countTraffic encodes a message as a link would, to count its bytes at both ends.
func (n *Node) countTraffic(queued *queuedFrame, peer *Node) error {
	if n.exceedsFrameLimit(queued) {
		queued.body.release()
		return fault.New(fault.Unsent, "%s: frame over the bound", queued.kind+queued.responseTo)
	}
	sent, scratch := Traffic{}, buffers.Get().(*buffer)
	defer scratch.release()
	for size := queued.body.size(); ; {
		chunk := min(size-queued.offset, maxChunk)
		header := queued.head
		if chunk < size {
			if header.bodyID = 1; queued.offset > 0 {
				header = head{bodyID: 1}
			}
			header.remaining = int64(size - queued.offset - chunk)
		}
		scratch.b = header.appendTo(scratch.b[:0], queued.body.bytes(queued.offset, chunk), chunk < size)
		sent.Frames++
		sent.Bytes += int64(len(scratch.b))
		if queued.offset += chunk; queued.offset >= size {
			break
		}
	}
	key := Flow{Kind: queued.kind + queued.responseTo, OtherZone: peer.Self.Zone != n.Self.Zone}
	n.mu.Lock()
	n.closedTraffic[key] = Traffic{n.closedTraffic[key].Frames + sent.Frames, n.closedTraffic[key].Bytes + sent.Bytes}
	n.mu.Unlock()
	peer.bytesReceived.Add(sent.Bytes)
	return nil
}

// send sends one message over the network; with ID 0 it is a one-way message.
func (r *LocalNetwork) send(ctx context.Context, n *Node, addr, kind string, body *buffer, id uint64) (*frame, error) {
	request := &queuedFrame{head: head{kind: kind, id: id, lane: contextLane(ctx)}, body: body}
	if deadline, ok := ctx.Deadline(); ok && id > 0 {
		request.timeoutMS = time.Until(deadline).Milliseconds()
		if request.timeoutMS <= 0 {
			body.release()
			return nil, fault.New(fault.Unsent, "no time left for %s", kind)
		}
		request.sentAtMS = 1 + n.now().Milliseconds()
	}
	peer, err := r.travel(ctx, n, addr)
	if err != nil {
		body.release()
		return nil, err
	}
	if err := n.countTraffic(request, peer); err != nil {
		return nil, err
	}
	target := peer.handlers[kind]
	if target == nil {
		target = &handler{kind: kind, run: func(_ context.Context, _ Hello, received *frame) (*buffer, error) {
			received.release()
			return nil, fault.New(fault.Refused, "kind %q is not spoken here", kind)
		}}
	}
	handlerCtx, release := peer.cancelableContext(ctx, n, target)
	defer release()
	if request.timeoutMS > 0 {
		var cancel context.CancelFunc
		handlerCtx, cancel = context.WithTimeout(handlerCtx, time.Duration(request.timeoutMS)*time.Millisecond)
		defer cancel()
	}
	peer.activeCalls.Add(1)
	var result *buffer
	handle := func() {
		result, err = target.run(handlerCtx, n.Self, &frame{head: request.head, body: body.b, buf: body})
	}
	if r.observe != nil {
		r.observe(peer.Self.Role, kind, handle)
	} else {
		handle()
	}
	peer.activeCalls.Add(-1)
	if id == 0 {
		result.release()
		return nil, nil
	}
	response := peer.newResponse(request.head, kind, result, err)
	if err := peer.countTraffic(response, n); err != nil {
		return nil, err
	}
	// A process that ended in the meantime does not respond.
	if peer.tasks.Context().Err() != nil || !sleep(ctx, r.delay(peer.Self.Zone, n.Self.Zone)) {
		response.body.release()
		return nil, fault.New(fault.Unknown, "no receipt of %s in time", kind)
	}
	received := &frame{head: response.head, buf: response.body}
	received.body = received.buf.bytes(0, received.buf.size())
	return received.result(kind)
}

// PeerCount counts the peers that exchanged messages with this node on the LocalNetwork.
func (n *Node) PeerCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.contacted)
}

// BytesReceived returns the number of bytes received over the LocalNetwork.
func (n *Node) BytesReceived() int64 { return n.bytesReceived.Load() }
