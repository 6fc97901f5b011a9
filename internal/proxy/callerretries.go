package proxy

import (
	"sync"
	"time"
)

// callerRetries knows jobs that come back after they were not served. Nothing in a job
// says so, and each try has an id of its own, but its time ends when it ended
// before. Who came back has lost a part of its aim, or all of it: where room is
// short it must not take the place of one that can still be served in time.
type callerRetries struct {
	mu        sync.Mutex
	tolerance time.Duration // two ends this near to each other are one
	firstSeen map[deadlineKey]time.Time
}

// deadlineKey is the end of a job's time on a path, in steps of what is near.
type deadlineKey struct {
	route  string
	bucket int64
}

// maxCallerRetries bounds the jobs that are remembered at once; beyond it those that
// come back look like new ones.
const maxCallerRetries = 4096

func newCallerRetries(tolerance time.Duration) *callerRetries {
	return &callerRetries{tolerance: max(tolerance, time.Millisecond), firstSeen: map[deadlineKey]time.Time{}}
}

func (r *callerRetries) bucket(deadline time.Time) int64 {
	return deadline.UnixNano() / int64(r.tolerance)
}

// firstArrival gives when a job that came at a time first came here.
func (r *callerRetries) firstArrival(route string, arrivedAt, deadline time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	bucket := r.bucket(deadline)
	for _, candidate := range []int64{bucket - 1, bucket, bucket + 1} {
		if t, ok := r.firstSeen[deadlineKey{route, candidate}]; ok && t.Before(arrivedAt) {
			arrivedAt = t
		}
	}
	return arrivedAt
}

// record remembers a job that was not served.
func (r *callerRetries) record(route string, firstSeen, deadline time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := deadlineKey{route, r.bucket(deadline)}
	if t, ok := r.firstSeen[key]; ok && t.Before(firstSeen) || !ok && len(r.firstSeen) >= maxCallerRetries {
		return
	}
	r.firstSeen[key] = firstSeen
}

// callerRetryAfter is when a refused job may come back. One that would then be late in any
// case loses nothing more by coming later, and the rush that it met may be over by
// then.
func (x *Proxy) callerRetryAfter(req *request) time.Duration {
	now := time.Now()
	usualRun := time.Duration(x.balancer.UsualRunMS(req.route.Name) * float64(time.Millisecond))
	if now.Add(req.retryAfter + usualRun).After(req.firstSeen.Add(req.arm.Target)) {
		return max(req.retryAfter, req.deadline.Sub(now)/3)
	}
	return req.retryAfter
}

// expire drops those whose time is over.
func (r *callerRetries) expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k := range r.firstSeen {
		if k.bucket < r.bucket(now)-1 {
			delete(r.firstSeen, k)
		}
	}
}
