package proxy

import (
	"sync"
	"time"
)

// recall knows jobs that come back after they were not served. Nothing in a job
// says so, and each try has an id of its own, but its time ends when it ended
// before. Who came back has lost a part of its aim, or all of it: where room is
// short it must not take the place of one that can still be served in time.
type recall struct {
	mu   sync.Mutex
	near time.Duration // two ends this near to each other are one
	ends map[ending]time.Time
}

// ending is the end of a job's time on a path, in steps of what is near.
type ending struct {
	path string
	at   int64
}

// recallMost bounds the jobs that are remembered at once; beyond it those that
// come back look like new ones.
const recallMost = 4096

func newRecall(near time.Duration) *recall {
	return &recall{near: max(near, time.Millisecond), ends: map[ending]time.Time{}}
}

func (r *recall) step(end time.Time) int64 { return end.UnixNano() / int64(r.near) }

// first gives when a job that came at a time first came here.
func (r *recall) first(path string, from, end time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.step(end)
	for _, s := range []int64{at - 1, at, at + 1} {
		if t, ok := r.ends[ending{path, s}]; ok && t.Before(from) {
			from = t
		}
	}
	return from
}

// note remembers a job that was not served.
func (r *recall) note(path string, first, end time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := ending{path, r.step(end)}
	if t, ok := r.ends[k]; ok && t.Before(first) || !ok && len(r.ends) >= recallMost {
		return
	}
	r.ends[k] = first
}

// comeback is when a refused job may come back. One that would then be late in any
// case loses nothing more by coming later, and the rush that it met may be over by
// then.
func (x *Proxy) comeback(j *job) time.Duration {
	now := time.Now()
	run := time.Duration(x.pick.UsualRunMS(j.path.Name) * float64(time.Millisecond))
	if now.Add(j.come + run).After(j.first.Add(j.arm.Target)) {
		return max(j.come, j.end.Sub(now)/3)
	}
	return j.come
}

// forget drops those whose time is over.
func (r *recall) forget(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k := range r.ends {
		if k.at < r.step(now)-1 {
			delete(r.ends, k)
		}
	}
}
