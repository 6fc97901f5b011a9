package proxy

import (
	"context"
	"time"

	"puffincrank/internal/ormap"
	"puffincrank/internal/protocol"
	"puffincrank/internal/rules"
	"puffincrank/internal/transport"
)

// The rules have as many lanes as the links have for jobs.
var _ = [1]struct{}{}[transport.LaneBulk-transport.LaneRequests+1-rules.RequestLanes]

// lane is the lane that a job goes by on links: its arm's, or the most urgent of
// the jobs that it may be a call of. A small call of a bulk job goes after all
// that is urgent and before the bulk itself: as long as it waits, a slot does.
func (x *Proxy) lane(j *job) int {
	own := transport.LaneRequests + j.rules.Lane(j.arm)
	if j.arm.Bulk != "" {
		return own
	}
	if l, ok := x.kin.serves(j.path.Name); ok {
		return min(l, transport.LaneBulk-1)
	}
	return own
}

// wait tells the nominator how long a bulk job would be under way to an owner
// now, as measured.
func (x *Proxy) wait(j *job) func(ormap.Entry) time.Duration {
	if j.arm.Bulk == "" {
		return nil
	}
	return func(e ormap.Entry) time.Duration { return x.n.BulkDelay(e.InternalAddr, len(j.body)) }
}

// thin is the outcome of an attempt for which the link had no room: nothing was
// sent, and the owner is none the worse for it.
func (x *Proxy) thin(come time.Duration) protocol.AttemptResult {
	x.slim.Add(1)
	return protocol.AttemptResult{Outcome: protocol.Refused, Reason: "the link to the owner is full", RetryAfterMS: max(come, x.Settings.HeartbeatInterval()).Milliseconds(), UsedSlots: -1}
}

// book keeps room on the link back for the answer of a bulk job, by what others
// of its path brought. A link that could not take it in time refuses the job
// before it runs.
func (x *Proxy) book(ctx context.Context, v *visit) bool {
	left := time.Until(v.end)
	need := v.gate.need(v.in.Route, left/4)
	if transport.LaneOf(ctx) == transport.LaneBulk && left < need+x.Settings.CallTimeout()/4 {
		// It took its time to come here; begun now, its receipt might come too
		// late, and nobody would know that it ran.
		return v.refuse("no time left to run it in")
	}
	// The answer must be there before its front goes, should that be told to end
	// in this moment; else it would be cut off on its way.
	if most := time.Duration(v.in.MaxQueueMS) * time.Millisecond; most > 0 && most < left {
		short, end := context.WithTimeout(ctx, most)
		defer end()
		ctx = short
	}
	free, come, ok := transport.ReserveResponse(ctx, v.gate.gives(v.in.Route), need)
	if !ok {
		x.slim.Add(1)
		return v.later("the link back to the front is full", max(come, x.Settings.HeartbeatInterval()))
	}
	v.free = free
	return true
}

// unbook gives back what an attempt booked, right before its receipt goes out.
func (x *Proxy) unbook(v *visit) {
	if v.free != nil {
		v.free()
	}
	if v.held {
		x.kin.end(v.lane)
	}
}

// begin notes the lane of a job that has its slot now.
func (x *Proxy) begin(ctx context.Context) int {
	lane := transport.LaneOf(ctx)
	x.kin.begin(lane)
	return lane
}

// begin and end note by which lanes the jobs at the own worker came, for the
// calls that they make.
func (k *kin) begin(lane int) {
	k.mu.Lock()
	k.under[lane]++
	k.mu.Unlock()
}

func (k *kin) end(lane int) {
	k.mu.Lock()
	k.under[lane]--
	k.mu.Unlock()
}

// told notes an owner's word on whether a path is called from within.
func (k *kin) told(path string, inner bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !inner {
		delete(k.within, path)
		return
	}
	if len(k.within) >= 1024 {
		clear(k.within)
	}
	k.within[path] = true
}

// serves gives the most urgent lane of the jobs that a call of this path may
// belong to; false when it is none, as far as is known.
func (k *kin) serves(path string) (int, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.within[path] {
		return 0, false
	}
	for lane, n := range k.under {
		if n > 0 {
			return lane, true
		}
	}
	return 0, false
}
