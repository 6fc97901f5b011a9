package proxy

import (
	"context"
	"strconv"
	"time"

	"puffincrank/internal/balancer"
	"puffincrank/internal/ormap"
	"puffincrank/internal/replica"
)

// adoptEarlierWorker takes over the local worker's entry from an earlier start of this node.
// Otherwise the worker would be idle until its next heartbeat, or an old heartbeat could mark
// it as up after it had reported that it is draining. This is done only where the platform sets
// the worker's address; if another worker has that address by now, it refuses requests that are
// not for it.
func (x *Proxy) adoptEarlierWorker() {
	x.workerCallMu.Lock()
	defer x.workerCallMu.Unlock()
	conf := x.currentSettings()
	if conf.WorkerAddr == "" || x.dialect.IdentifiesConns {
		return
	}
	earlier := x.replica.Map().Live(func(e ormap.Entry) bool {
		return x.isFromEarlierStart(e) && e.Meta["addr"] == conf.WorkerAddr && e.Service == conf.Service
	})
	for _, e := range earlier {
		x.applyEarlierState(e)
	}
	if len(earlier) == 0 || len(x.allWorkers()) > 0 {
		return
	}
	latest := earlier[0]
	for _, e := range earlier {
		// With two workers, one of them is gone, and it is not known which.
		if e.Worker != latest.Worker {
			return
		}
		// Control plane machines may have kept older entries of the same worker too.
		if latest.Dot.Compare(e.Dot) < 0 {
			latest = e
		}
	}
	x.applyEntry(latest)
}

// isFromEarlierStart tells whether an entry was registered by an earlier start of this node.
func (x *Proxy) isFromEarlierStart(e ormap.Entry) bool {
	return e.Owner == x.Settings.Node && e.Dot.Node != x.replica.DotNode()
}

// recallEarlierState applies what a worker that has not called yet reported to an earlier start of
// this node, as far as its entry carries the number of that call. x.workerCallMu is held.
func (x *Proxy) recallEarlierState(worker string) {
	for _, e := range x.replica.Map().Live(func(e ormap.Entry) bool { return e.Worker == worker && x.isFromEarlierStart(e) }) {
		if callNumber(e) > x.lastCalls[worker].number {
			x.applyEntry(e)
		}
	}
}

// applyEarlierState applies what a worker reported to an earlier start of this node, if it is newer
// than all that it has reported to this one. x.workerCallMu is held.
func (x *Proxy) applyEarlierState(e ormap.Entry) {
	if newest, known := x.lastCalls[e.Worker]; known && callNumber(e) > newest.number && x.findWorker(e.Worker) != nil {
		x.applyEntry(e)
	}
}

// applyEntry applies an entry of an earlier start as the worker's call. x.workerCallMu is held.
func (x *Proxy) applyEntry(e ormap.Entry) {
	x.applyIfNewest(workerCall{worker: e.Worker, service: e.Service, addr: e.Meta["addr"], slots: balancer.Slots(e), state: e.Meta["state"], number: callNumber(e)})
	local := x.findWorker(e.Worker)
	if local == nil || !local.state.Is("draining") {
		return
	}
	// How long it has been draining is unknown, so it gets no more requests.
	local.mu.Lock()
	local.drainingSince = time.Time{}
	local.mu.Unlock()
	local.admission.Close()
}

// callNumber returns the number of the worker's call that an entry stems from; 0 if unknown.
func callNumber(e ormap.Entry) int64 {
	number, _ := strconv.ParseInt(e.Meta["call"], 10, 64)
	return number
}

// followRegistry applies what the registry has learned of this node's workers, whenever and however
// it did: that one is gone for good, or what one reported to an earlier start of this node.
func (x *Proxy) followRegistry(update replica.Event) {
	var apply func()
	switch {
	case update.Kind == "departed" && x.findWorker(update.Entry.Worker) != nil:
		apply = func() { x.signOff(update.Entry.Worker) }
	case update.Kind == "registered" && x.isFromEarlierStart(update.Entry) && x.findWorker(update.Entry.Worker) != nil:
		apply = func() { x.applyEarlierState(update.Entry) }
	default:
		return
	}
	// In its own goroutine, since the change may be an effect of a call that holds workerCallMu.
	x.group.Go("registry-news", func(context.Context) {
		x.workerCallMu.Lock()
		defer x.workerCallMu.Unlock()
		apply()
	})
}
