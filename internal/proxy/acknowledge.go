package proxy

import (
	"context"
	"net/http"
	"time"

	"puffincrank/internal/fault"
	"puffincrank/internal/httpapi"
	"puffincrank/internal/ormap"
	"puffincrank/internal/protocol"
	"puffincrank/internal/transport"
)

const (
	// leaveFanout is how many control nodes are told of a leave. One that has recorded it is
	// enough; the others learn of it by gossip.
	leaveFanout = 3
	// leaveTimeout bounds the wait for the first of them; a worker waits 1 s for its
	// acknowledgement.
	leaveTimeout = 600 * time.Millisecond
)

// acknowledge answers a worker's call that was accepted. A leave must hold even if this process
// dies, so it is acknowledged only once a control node has recorded it too.
func (x *Proxy) acknowledge(w http.ResponseWriter, r *http.Request, worker, state string, body any) {
	if state != stateUp && !x.leaveRecorded(r.Context(), worker, state) {
		httpapi.WriteBusy(w, "no control node has noted the leave yet", x.Settings.HeartbeatInterval(), x.dialect.FractionalRetryAfter)
		return
	}
	httpapi.WriteJSON(w, http.StatusOK, body)
}

// leaveRecorded tells whether a control node has recorded that a worker leaves, and reports the
// leave if none has.
func (x *Proxy) leaveRecorded(ctx context.Context, worker, state string) bool {
	x.workerCallMu.Lock()
	recorded := x.recordedLeaves[worker] == state
	x.workerCallMu.Unlock()
	if recorded {
		return true
	}
	entries := x.replica.EntriesOf(worker)
	if entries.Empty() {
		// No other node knows of the worker, unless this one has not been refilled yet.
		return !x.lifecycle.Is("starting")
	}
	if !x.recordLeave(ctx, entries) {
		return false
	}
	x.workerCallMu.Lock()
	x.recordedLeaves[worker] = state
	x.workerCallMu.Unlock()
	return true
}

// recordLeave sends a worker's entries to some control nodes in parallel and tells whether one
// of them has recorded the leave.
func (x *Proxy) recordLeave(ctx context.Context, entries ormap.Delta) bool {
	ctx, cancel := context.WithTimeout(ctx, min(leaveTimeout, x.Settings.CallTimeout()))
	defer cancel()
	controlNodes := x.control.ControlNodes()
	controlNodes = controlNodes[:min(len(controlNodes), leaveFanout)]
	recorded := make(chan bool, len(controlNodes))
	for _, addr := range controlNodes {
		if !x.group.Go("tell-leave", func(context.Context) { recorded <- x.recordLeaveAt(ctx, addr, entries) }) {
			return false
		}
	}
	for range controlNodes {
		if <-recorded {
			return true
		}
	}
	return false
}

// recordLeaveAt sends them to one control node.
func (x *Proxy) recordLeaveAt(ctx context.Context, addr string, entries ormap.Delta) bool {
	_, err := transport.Call[struct{}](ctx, x.node, addr, protocol.WorkerLeavingKind, entries)
	if fault.Is(err, fault.Refused) {
		// A control node of an earlier version records it, though not on its disk.
		_, err = transport.Call[struct{}](ctx, x.node, addr, "replica.mend", entries)
	}
	return err == nil
}
