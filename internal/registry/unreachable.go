package registry

import (
	"time"

	"puffincrank/internal/membership"
)

// recordAnswer notes whether a control node answered a word that began at a time,
// so that one that ended is out of the list before its sessions' time is over.
func (r *Registry) recordAnswer(at string, began time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range r.others {
		switch {
		case o.f.InternalAddr != at:
		case ok:
			o.mute = time.Time{}
			if began.After(o.well) {
				o.well = began
			}
		// An older word that is given up late says nothing against a newer one.
		case began.After(o.well) && (o.mute.IsZero() || o.mute.After(began)):
			o.mute = began
		}
	}
}

// unreachablePeers gives the control nodes whose end is not certain yet: a word goes to
// them at each beat, as a word now and then would find it out too late. mu is
// held.
func (r *Registry) unreachablePeers() []string {
	var out []string
	for _, o := range r.others {
		if o.stands && !o.mute.IsZero() && !o.out {
			out = append(out, o.f.InternalAddr)
		}
	}
	return out
}

// dropUnreachable takes a control node off the list that answered nothing for as long as
// a role stands without its holder, and said nothing itself meanwhile. What it
// said of its sessions goes on counting: who is cut off from it is not from them.
// mu is held.
func (r *Registry) dropUnreachable() {
	for who, o := range r.others {
		if o.stands && !o.mute.IsZero() && !o.out && o.heard.Before(o.mute) && time.Since(o.mute) >= r.Settings.LeaderTimeout() {
			o.out = true
			r.roll.Remove(who, who)
		}
	}
}

// hears takes in that a control node spoke: it is one again. mu is held.
func (o *shared) hears(from membership.Member) {
	o.f, o.heard, o.stands, o.out = from, time.Now(), true, false
}
