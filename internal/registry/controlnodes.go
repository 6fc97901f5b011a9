package registry

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"puffincrank/internal/membership"
)

// near gives the control nodes heard here, this one first, and a name for the
// set of them; mu is held.
func (r *Registry) near() ([]string, uint64) {
	out := []string{r.Settings.InternalAddr}
	for _, o := range r.others {
		if time.Since(o.heard) <= r.Settings.SessionTTL() && !slices.Contains(out, o.f.InternalAddr) {
			out = append(out, o.f.InternalAddr)
		}
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(strings.Join(slices.Sorted(slices.Values(out)), " ")))
	return out, h.Sum64()
}

// coreLocked gives the control nodes' addresses; mu is held.
func (r *Registry) coreLocked() []string {
	out, _ := r.near()
	for _, a := range r.Settings.Seeds {
		if !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// tell is what beats are told of the control nodes: their addresses and the
// name of that list. It is worked out once for a part of a beat, since hundreds
// of sessions ask for it in each and it grows with the control nodes; mu is held.
func (r *Registry) tell() ([]string, uint64) {
	if r.list.at.IsZero() || time.Since(r.list.at) > r.Settings.HeartbeatInterval()/8 {
		r.list.core = r.coreLocked()
		r.list.name, r.list.at = membership.HashNames(r.list.core), time.Now()
	}
	return r.list.core, r.list.name
}

func (r *Registry) core() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.coreLocked()
}

// peers gives the control nodes to share with: those heard, those that they
// hear, and the seeds. A seed that is not heard may be gone for good; it is
// tried now and then, and tells of itself when it comes. mu is held.
func (r *Registry) peers() []string {
	to, _ := r.near()
	r.shares++
	if len(to) == 1 || r.shares%5 == 0 {
		to = r.coreLocked()
	}
	for a, t := range r.known {
		if time.Since(t) > r.Settings.SessionTTL() {
			delete(r.known, a)
		} else if !slices.Contains(to, a) {
			to = append(to, a)
		}
	}
	return to
}

// meet notes control nodes that a peer hears itself. Word of them goes no
// further until this node hears them too, so that a dead one is forgotten.
func (r *Registry) meet(near []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range near {
		if a != r.Settings.InternalAddr {
			r.known[a] = time.Now()
		}
	}
}
