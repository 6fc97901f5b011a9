package proxy

import "time"

// eviction is what is known of a worker whose address another worker has claimed.
type eviction struct {
	by    string    // the worker that claimed the address
	quiet time.Time // since when the evicted worker has not called
}

// reasonEvicted is why an entry is removed when another worker has its address.
const reasonEvicted = "evicted"

// evict closes a worker whose address another one has claimed. Which of the two is the newer life
// can't be told from one call: the claim may be a late heartbeat of a former life, which this node
// has not known since its last restart. So the evicted worker is not gone for good yet.
// x.workerCallMu is held.
func (x *Proxy) evict(local *localWorker, by string) {
	x.closeAndRemove(local, reasonEvicted)
	x.evictions[local.id] = eviction{by: by, quiet: time.Now()}
}

// claimStands tells whether a call of an evicted worker is refused because the worker that claimed
// its address still calls. A former life ends calling, so that the live worker comes back.
// x.workerCallMu is held.
func (x *Proxy) claimStands(worker string) bool {
	evicted, ok := x.evictions[worker]
	if !ok {
		return false
	}
	claimant := x.findWorker(evicted.by)
	if claimant == nil || time.Since(claimant.lastContactTime()) > x.Settings.WorkerHeartbeat()*3/2 {
		delete(x.evictions, worker)
		return false
	}
	evicted.quiet = time.Now()
	x.evictions[worker] = evicted
	return true
}

// confirmEvictions marks the workers that this one evicted as gone for good, if they have not called
// for so long that they count as down while this one goes on calling. x.workerCallMu is held.
func (x *Proxy) confirmEvictions(by string) {
	for worker, evicted := range x.evictions {
		if evicted.by == by && time.Since(evicted.quiet) > x.Settings.WorkerTimeout() {
			delete(x.evictions, worker)
			x.replica.SignOffWorker(worker, reasonEvicted)
		}
	}
}
