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
	// tellAtOnce is how many control nodes are told of a leave; one that has
	// noted it is enough, and the others hear of it by gossip.
	tellAtOnce = 3
	// tellWithin bounds the wait for the first of them: a worker waits a second
	// for its acknowledgement.
	tellWithin = 600 * time.Millisecond
)

// acknowledge answers a worker's call that was taken. That it leaves is a promise,
// which has to hold when this process is gone: it is acknowledged when a control
// node has it too.
func (x *Proxy) acknowledge(w http.ResponseWriter, r *http.Request, worker, state string, body any) {
	if state != saysUp && !x.leaveKept(r.Context(), worker, state) {
		httpapi.WriteBusy(w, "no control node has noted the leave yet", x.Settings.HeartbeatInterval(), x.say.FractionalRetryAfter)
		return
	}
	httpapi.WriteJSON(w, http.StatusOK, body)
}

// leaveKept tells whether a control node has noted what a worker said of its leave,
// and sees to it.
func (x *Proxy) leaveKept(ctx context.Context, worker, state string) bool {
	x.calling.Lock()
	kept := x.kept[worker] == state
	x.calling.Unlock()
	if kept {
		return true
	}
	word := x.rep.EntriesOf(worker)
	if word.Empty() {
		// Nobody else knows of the worker, unless this node has not been told yet.
		return !x.life.Is("starting")
	}
	if !x.tellControl(ctx, word) {
		return false
	}
	x.calling.Lock()
	x.kept[worker] = state
	x.calling.Unlock()
	return true
}

// tellControl hands a word on a worker to some control nodes at once, and tells
// whether one has noted it.
func (x *Proxy) tellControl(ctx context.Context, word ormap.Delta) bool {
	ctx, end := context.WithTimeout(ctx, min(tellWithin, x.Settings.CallTimeout()))
	defer end()
	core := x.touch.ControlNodes()
	core = core[:min(len(core), tellAtOnce)]
	noted := make(chan bool, len(core))
	for _, at := range core {
		if !x.g.Go("tell-leave", func(context.Context) { noted <- x.tellOne(ctx, at, word) }) {
			return false
		}
	}
	for range core {
		if <-noted {
			return true
		}
	}
	return false
}

// tellOne hands it to one control node.
func (x *Proxy) tellOne(ctx context.Context, at string, word ormap.Delta) bool {
	_, err := transport.Call[struct{}](ctx, x.n, at, protocol.WorkerLeavingKind, word)
	if fault.Is(err, fault.Refused) {
		// One of an earlier version notes it, though not on its disk.
		_, err = transport.Call[struct{}](ctx, x.n, at, "replica.mend", word)
	}
	return err == nil
}
