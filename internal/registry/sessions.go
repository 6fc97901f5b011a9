package registry

import (
	"context"
	"time"

	"puffincrank/internal/event"
	"puffincrank/internal/member"
	"puffincrank/internal/ormap"
	"puffincrank/internal/rules"
	"puffincrank/internal/session"
	"puffincrank/internal/wire"
)

// seat is one proxy's session here.
type seat struct {
	f       member.Fellow
	heard   time.Time
	version uint64
	tallies []session.Tally
	live    []string
}

// shared is another control node's word on its sessions.
type shared struct {
	f     member.Fellow
	list  []member.Fellow
	hash  uint64
	heard time.Time
}

// onBeat renews a session. A control node that is out of touch with the
// stores, or leaving, says so, and the proxy tries another.
func (r *Registry) onBeat(_ context.Context, _ wire.Hello, in session.Beat) (session.Receipt, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if in.Bye {
		delete(r.own, in.Fellow.Node)
		return session.Receipt{}, nil
	}
	if r.rules == nil && r.sure.IsZero() || time.Since(r.sure) > r.P.Fresh() || r.life.Is("starting", "leaving", "shut", "lost") {
		return session.Receipt{}, nil
	}
	s := r.own[in.Fellow.Node]
	if s == nil || s.f != in.Fellow {
		if s == nil || s.f.Start != in.Fellow.Start {
			r.e.Log.Emit(event.SessionUp, "node", in.Fellow.Node)
			r.buryOld(in.Fellow)
		}
		s = &seat{f: in.Fellow}
		r.own[in.Fellow.Node] = s
	}
	s.heard, s.version, s.tallies, s.live = time.Now(), in.Version, in.Tallies, in.Live
	r.workOut()
	out := session.Receipt{In: true, Age: time.Since(r.sure).Milliseconds() + 1, Hash: r.hash, Core: r.coreLocked()}
	if r.rules != nil {
		out.Version = r.rules.Version
		if in.Version < out.Version {
			out.Doc = r.rules.Doc
		}
	}
	if in.Hash != r.hash {
		out.Members = r.list
	}
	for _, f := range r.list {
		if f.Role == "proxy" {
			out.Count++
		}
	}
	return out, nil
}

// buryOld removes what earlier starts of a node left: one name, one process.
func (r *Registry) buryOld(f member.Fellow) {
	r.g.Go("bury-old", func(context.Context) {
		r.rep.Retire(f.Node, func(e ormap.Entry) bool { return e.Dot.Node != f.Node+"#"+f.Start })
	})
}

// workOut makes the list of members from all sessions; mu is held.
func (r *Registry) workOut() {
	all := map[string]member.Fellow{r.self.Node: r.self}
	for _, o := range r.others {
		if time.Since(o.heard) > r.P.Session() {
			continue
		}
		all[o.f.Node] = o.f
		for _, f := range o.list {
			all[f.Node] = f
		}
	}
	for n, s := range r.own {
		if time.Since(s.heard) > r.P.Session() {
			delete(r.own, n)
			r.e.Log.Emit(event.SessionDown, "node", n)
			continue
		}
		all[n] = s.f
	}
	var list []member.Fellow
	for _, f := range all {
		list = append(list, f)
	}
	member.Sort(list)
	if h := member.Hash(list); h != r.hash {
		r.list, r.hash = list, h
		r.g.Go("peers", func(context.Context) { r.rep.Peers(list) })
	}
}

// ownList is this node's own sessions; mu is held.
func (r *Registry) ownList() []member.Fellow {
	var out []member.Fellow
	for _, s := range r.own {
		out = append(out, s.f)
	}
	return member.Sort(out)
}

// coreLocked gives the control nodes' addresses; mu is held.
func (r *Registry) coreLocked() []string {
	out := []string{r.P.Inner}
	seen := map[string]bool{r.P.Inner: true}
	for _, o := range r.others {
		if time.Since(o.heard) <= r.P.Session() && !seen[o.f.Inner] {
			seen[o.f.Inner] = true
			out = append(out, o.f.Inner)
		}
	}
	for _, a := range r.P.Seeds {
		if !seen[a] {
			seen[a] = true
			out = append(out, a)
		}
	}
	return out
}

func (r *Registry) core() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.coreLocked()
}

// share tells the other control nodes of the sessions here: by hash, and
// whole only when they don't have it.
func (r *Registry) share(ctx context.Context) {
	r.mu.Lock()
	r.workOut()
	list := r.ownList()
	in := session.Share{From: r.self, Hash: member.Hash(list)}
	to := r.coreLocked()
	r.mu.Unlock()
	for _, a := range to {
		if a == r.P.Inner {
			continue
		}
		r.g.Go("share-one", func(ctx context.Context) {
			ctx, end := context.WithTimeout(ctx, r.P.Patience())
			defer end()
			got, err := wire.Ask[session.ShareBack](ctx, r.n, a, "session.share", in)
			if err != nil || !got.Need {
				return
			}
			full := in
			full.Full, full.List = true, list
			_, _ = wire.Ask[session.ShareBack](ctx, r.n, a, "session.share", full)
		})
	}
}

func (r *Registry) onShare(_ context.Context, _ wire.Hello, in session.Share) (session.ShareBack, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.others[in.From.Node]
	if o == nil {
		o = &shared{}
		r.others[in.From.Node] = o
	}
	o.f, o.heard = in.From, time.Now()
	if in.Full {
		o.list, o.hash = in.List, in.Hash
	}
	if in.Hash != o.hash {
		// What is known is kept until the whole list comes.
		return session.ShareBack{Need: true, Me: r.self}, nil
	}
	return session.ShareBack{Me: r.self}, nil
}

// push sends a new configuration to every session here at once.
func (r *Registry) push(c *rules.Rules) {
	r.mu.Lock()
	list := r.ownList()
	r.mu.Unlock()
	for _, f := range list {
		r.g.Go("push", func(ctx context.Context) {
			ctx, end := context.WithTimeout(ctx, r.P.Patience())
			defer end()
			// One that misses this gets it with its next beat.
			_, _ = wire.Ask[struct{}](ctx, r.n, f.Inner, "config.push", session.Push{Version: c.Version, Doc: c.Doc})
		})
	}
}
