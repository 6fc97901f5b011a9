package proxy

import (
	"sync"
	"time"
)

// callerRetries recognizes requests that callers send again after they were not served. A
// request does not say so, and each try has a new ID, but its deadline stays the same. Such a
// request has lost part or all of its target latency: when capacity is short it must not
// displace one that can still be served in time.
type callerRetries struct {
	mu        sync.Mutex
	tolerance time.Duration // deadlines this close to each other count as the same
	firstSeen map[deadlineKey]time.Time
}

// deadlineKey is a request's deadline on a route, in units of the tolerance.
type deadlineKey struct {
	route  string
	bucket int64
}

// maxCallerRetries bounds how many requests are remembered at once; beyond it, repeated ones
// look like new ones.
const maxCallerRetries = 4096

func newCallerRetries(tolerance time.Duration) *callerRetries {
	return &callerRetries{tolerance: max(tolerance, time.Millisecond), firstSeen: map[deadlineKey]time.Time{}}
}

func (r *callerRetries) bucket(deadline time.Time) int64 {
	return deadline.UnixNano() / int64(r.tolerance)
}

// firstArrival returns when a request was first seen here.
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

// record remembers a request that was not served.
func (r *callerRetries) record(route string, firstSeen, deadline time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := deadlineKey{route, r.bucket(deadline)}
	if t, ok := r.firstSeen[key]; ok && t.Before(firstSeen) || !ok && len(r.firstSeen) >= maxCallerRetries {
		return
	}
	r.firstSeen[key] = firstSeen
}

// callerRetryAfter is the retry-after time of a refused request. One that would miss its target
// in any case loses nothing more by coming later, when the overload may be over.
func (x *Proxy) callerRetryAfter(req *request) time.Duration {
	now := time.Now()
	usualRun := time.Duration(x.balancer.UsualRunMS(req.route.Name) * float64(time.Millisecond))
	if now.Add(req.retryAfter + usualRun).After(req.firstSeen.Add(req.arm.Target)) {
		return max(req.retryAfter, req.deadline.Sub(now)/3)
	}
	return req.retryAfter
}

// expire drops requests whose deadline has passed.
func (r *callerRetries) expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k := range r.firstSeen {
		if k.bucket < r.bucket(now)-1 {
			delete(r.firstSeen, k)
		}
	}
}
