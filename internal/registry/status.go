package registry

import (
	"context"
	"net/http"
	"sort"
	"sync"
	"time"

	"puffincrank/internal/event"
	"puffincrank/internal/httpapi"
	"puffincrank/internal/membership"
	"puffincrank/internal/proxy"
	"puffincrank/internal/store"
	"puffincrank/internal/transport"
)

// Status is what a registry says of itself.
type Status struct {
	Node              string            `msgpack:"node" json:"node"`
	Zone              string            `msgpack:"area" json:"area"`
	State             string            `msgpack:"state" json:"state"`
	Ready             bool              `msgpack:"ready" json:"ready"`
	ConfirmedAgoMS    int64             `msgpack:"sure" json:"confirmed_ms_ago"`
	Version           uint64            `msgpack:"version" json:"config_version"`
	Sessions          []string          `msgpack:"sessions" json:"sessions"`
	Roles             map[string]string `msgpack:"duties" json:"duties"`
	Entries           int               `msgpack:"entries" json:"entries"`
	Tombstones        int               `msgpack:"dead" json:"tombstones"`
	Digest            uint64            `msgpack:"digest" json:"digest"`
	BytesToOtherZones int64             `msgpack:"away" json:"bytes_sent_to_other_areas"`
	Events            []event.Entry     `msgpack:"events" json:"-"`
}

// ClusterStatus is the whole mesh as one node tells it.
type ClusterStatus struct {
	Version     uint64              `json:"config_version"`
	Members     []membership.Member `json:"members"`
	Roles       map[string]string   `json:"duties"`
	Stores      []store.Status      `json:"stores"`
	Registries  []Status            `json:"registries"`
	Proxies     []proxy.Status      `json:"proxies"`
	Unreachable []string            `json:"mute"` // members that gave no answer
}

func (r *Registry) onStatus(_ context.Context, _ transport.Hello, in proxy.StatusRequest) (Status, error) {
	s := r.status()
	if in.Events {
		s.Events = r.e.Log.Since(in.Since)
	}
	return s, nil
}

func (r *Registry) status() Status {
	s := Status{Node: r.Settings.Node, Zone: r.Settings.Zone, State: r.life.Current(), Ready: r.Ready(), Roles: map[string]string{}}
	for _, d := range r.duties {
		if num, ok := d.leads(); ok {
			s.Roles[d.name] = num.String()
		}
	}
	s.Entries, s.Tombstones = r.rep.Map().Size()
	for _, d := range r.rep.Map().Digests() {
		s.Digest ^= d
	}
	for k, v := range r.n.BytesSent() {
		if k.OtherZone {
			s.BytesToOtherZones += v.Bytes
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s.ConfirmedAgoMS = time.Since(r.sure).Milliseconds()
	if r.rules != nil {
		s.Version = r.rules.Version
	}
	for n := range r.own {
		s.Sessions = append(s.Sessions, n)
	}
	sort.Strings(s.Sessions)
	return s
}

// gather asks every member for its status at once.
func (r *Registry) gather(ctx context.Context, events bool, since uint64) ClusterStatus {
	r.mu.Lock()
	out := ClusterStatus{Members: r.roll.List().Members(), Roles: map[string]string{}, Unreachable: []string{}}
	r.mu.Unlock()
	r.stores.mu.Lock()
	stores := append([]string(nil), r.stores.members...)
	r.stores.mu.Unlock()
	ctx, end := context.WithTimeout(ctx, r.Settings.CallTimeout())
	defer end()
	var mu sync.Mutex
	var wait sync.WaitGroup
	ask := func(name string, f func() error) {
		wait.Add(1)
		if !r.g.Go("gather", func(context.Context) {
			defer wait.Done()
			if f() != nil {
				mu.Lock()
				out.Unreachable = append(out.Unreachable, name)
				mu.Unlock()
			}
		}) {
			wait.Done()
		}
	}
	in := proxy.StatusRequest{Events: events, Since: since}
	for _, f := range out.Members {
		ask(f.Node, func() error {
			if f.Role == "proxy" {
				s, err := transport.Call[proxy.Status](ctx, r.n, f.InternalAddr, "node.status", in)
				if err == nil {
					mu.Lock()
					out.Proxies = append(out.Proxies, s)
					mu.Unlock()
				}
				return err
			}
			s, err := transport.Call[Status](ctx, r.n, f.InternalAddr, "registry.status", in)
			if err == nil {
				mu.Lock()
				out.Registries = append(out.Registries, s)
				mu.Unlock()
			}
			return err
		})
	}
	for _, a := range stores {
		ask("store at "+a, func() error {
			s, err := transport.Call[store.Status](ctx, r.n, a, "store.status", struct{}{})
			if err == nil {
				mu.Lock()
				out.Stores = append(out.Stores, s)
				mu.Unlock()
			}
			return err
		})
	}
	wait.Wait()
	sort.Strings(out.Unreachable)
	sort.Slice(out.Proxies, func(i, j int) bool { return out.Proxies[i].Node < out.Proxies[j].Node })
	sort.Slice(out.Registries, func(i, j int) bool { return out.Registries[i].Node < out.Registries[j].Node })
	sort.Slice(out.Stores, func(i, j int) bool { return out.Stores[i].Node < out.Stores[j].Node })
	for _, s := range out.Registries {
		for d := range s.Roles {
			out.Roles[d] = s.Node
		}
	}
	for _, s := range out.Stores {
		if s.Role == "write" {
			out.Roles["writer"] = s.Node
		}
	}
	return out
}

func (r *Registry) getStatus(w http.ResponseWriter, req *http.Request) {
	ctx, end := r.withDeadline(req)
	defer end()
	got, err := r.stores.read(ctx, store.ReadRequest{Kind: "config", From: 1 << 62})
	f := r.gather(ctx, false, 0)
	f.Version = got.Version
	if err != nil {
		// Without a majority the status still helps, and says what it lacks.
		f.Unreachable = append(f.Unreachable, "no majority of the stores")
	}
	httpapi.WriteJSON(w, http.StatusOK, f)
}

func (r *Registry) getServices(w http.ResponseWriter, _ *http.Request) {
	httpapi.WriteJSON(w, http.StatusOK, map[string]any{"version": r.version(), "services": r.rep.Services(), "entries": r.rep.Map().Live(nil)})
}

func (r *Registry) getEvents(w http.ResponseWriter, req *http.Request) {
	ctx, end := r.withDeadline(req)
	defer end()
	f := r.gather(ctx, true, 0)
	all := []event.Entry{}
	for _, s := range f.Proxies {
		all = append(all, s.Events...)
	}
	for _, s := range f.Registries {
		all = append(all, s.Events...)
	}
	for _, s := range f.Stores {
		all = append(all, s.Events...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].Time.Before(all[j].Time) })
	if len(all) > 500 {
		all = all[len(all)-500:]
	}
	httpapi.WriteJSON(w, http.StatusOK, map[string]any{"version": r.version(), "events": all, "mute": f.Unreachable})
}

// version is the configuration held here.
func (r *Registry) version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rules == nil {
		return 0
	}
	return r.rules.Version
}

// BytesSent gives the bytes that this process sent to others, by kind of message;
// receipts count with what they answer.
func (r *Registry) BytesSent() map[transport.Flow]transport.Traffic { return r.n.BytesSent() }
