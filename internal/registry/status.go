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

// Status is the state that a registry reports of itself.
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

// ClusterStatus is the state of the whole cluster as seen from one node.
type ClusterStatus struct {
	Version     uint64              `json:"config_version"`
	Members     []membership.Member `json:"members"`
	Roles       map[string]string   `json:"duties"`
	Stores      []store.Status      `json:"stores"`
	Registries  []Status            `json:"registries"`
	Proxies     []proxy.Status      `json:"proxies"`
	Unreachable []string            `json:"mute"` // members that did not answer
}

func (r *Registry) onStatus(_ context.Context, _ transport.Hello, request proxy.StatusRequest) (Status, error) {
	status := r.status()
	if request.Events {
		status.Events = r.env.Log.Since(request.Since)
	}
	return status, nil
}

func (r *Registry) status() Status {
	status := Status{Node: r.Settings.Node, Zone: r.Settings.Zone, State: r.lifecycle.Current(), Ready: r.Ready(), Roles: map[string]string{}}
	for _, election := range r.elections {
		if number, ok := election.leads(); ok {
			status.Roles[election.name] = number.String()
		}
	}
	status.Entries, status.Tombstones = r.replica.Map().Size()
	for _, digest := range r.replica.Map().Digests() {
		status.Digest ^= digest
	}
	for flow, traffic := range r.node.BytesSent() {
		if flow.OtherZone {
			status.BytesToOtherZones += traffic.Bytes
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	status.ConfirmedAgoMS = time.Since(r.confirmedAt).Milliseconds()
	if r.rules != nil {
		status.Version = r.rules.Version
	}
	for node := range r.sessions {
		status.Sessions = append(status.Sessions, node)
	}
	sort.Strings(status.Sessions)
	return status
}

// collectStatus requests the status of all members concurrently.
func (r *Registry) collectStatus(ctx context.Context, events bool, since uint64) ClusterStatus {
	r.mu.Lock()
	cluster := ClusterStatus{Members: r.members.List().Members(), Roles: map[string]string{}, Unreachable: []string{}}
	r.mu.Unlock()
	r.stores.mu.Lock()
	stores := append([]string(nil), r.stores.members...)
	r.stores.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, r.Settings.CallTimeout())
	defer cancel()
	var mu sync.Mutex
	var pending sync.WaitGroup
	query := func(name string, request func() error) {
		pending.Add(1)
		if !r.group.Go("gather", func(context.Context) {
			defer pending.Done()
			if request() != nil {
				mu.Lock()
				cluster.Unreachable = append(cluster.Unreachable, name)
				mu.Unlock()
			}
		}) {
			pending.Done()
		}
	}
	request := proxy.StatusRequest{Events: events, Since: since}
	for _, member := range cluster.Members {
		query(member.Node, func() error {
			if member.Role == "proxy" {
				status, err := transport.Call[proxy.Status](ctx, r.node, member.InternalAddr, "node.status", request)
				if err == nil {
					mu.Lock()
					cluster.Proxies = append(cluster.Proxies, status)
					mu.Unlock()
				}
				return err
			}
			status, err := transport.Call[Status](ctx, r.node, member.InternalAddr, "registry.status", request)
			if err == nil {
				mu.Lock()
				cluster.Registries = append(cluster.Registries, status)
				mu.Unlock()
			}
			return err
		})
	}
	for _, addr := range stores {
		query("store at "+addr, func() error {
			status, err := transport.Call[store.Status](ctx, r.node, addr, "store.status", struct{}{})
			if err == nil {
				mu.Lock()
				cluster.Stores = append(cluster.Stores, status)
				mu.Unlock()
			}
			return err
		})
	}
	pending.Wait()
	sort.Strings(cluster.Unreachable)
	sort.Slice(cluster.Proxies, func(i, j int) bool { return cluster.Proxies[i].Node < cluster.Proxies[j].Node })
	sort.Slice(cluster.Registries, func(i, j int) bool { return cluster.Registries[i].Node < cluster.Registries[j].Node })
	sort.Slice(cluster.Stores, func(i, j int) bool { return cluster.Stores[i].Node < cluster.Stores[j].Node })
	for _, status := range cluster.Registries {
		for role := range status.Roles {
			cluster.Roles[role] = status.Node
		}
	}
	for _, status := range cluster.Stores {
		if status.Role == "write" {
			cluster.Roles["writer"] = status.Node
		}
	}
	return cluster
}

func (r *Registry) getStatus(w http.ResponseWriter, req *http.Request) {
	ctx, cancel := r.withDeadline(req)
	defer cancel()
	result, err := r.stores.read(ctx, store.ReadRequest{Kind: "config", From: 1 << 62})
	cluster := r.collectStatus(ctx, false, 0)
	cluster.Version = result.Version
	if err != nil {
		// Without a majority the status is still useful, and it says what is missing.
		cluster.Unreachable = append(cluster.Unreachable, "no majority of the stores")
	}
	httpapi.WriteJSON(w, http.StatusOK, cluster)
}

func (r *Registry) getServices(w http.ResponseWriter, _ *http.Request) {
	httpapi.WriteJSON(w, http.StatusOK, map[string]any{"version": r.version(), "services": r.replica.Services(), "entries": r.replica.Map().Live(nil)})
}

func (r *Registry) getEvents(w http.ResponseWriter, req *http.Request) {
	ctx, cancel := r.withDeadline(req)
	defer cancel()
	cluster := r.collectStatus(ctx, true, 0)
	events := []event.Entry{}
	for _, s := range cluster.Proxies {
		events = append(events, s.Events...)
	}
	for _, s := range cluster.Registries {
		events = append(events, s.Events...)
	}
	for _, s := range cluster.Stores {
		events = append(events, s.Events...)
	}
	sort.SliceStable(events, func(i, j int) bool { return events[i].Time.Before(events[j].Time) })
	if len(events) > 500 {
		events = events[len(events)-500:]
	}
	httpapi.WriteJSON(w, http.StatusOK, map[string]any{"version": r.version(), "events": events, "mute": cluster.Unreachable})
}

// version returns the version of the configuration held here.
func (r *Registry) version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rules == nil {
		return 0
	}
	return r.rules.Version
}

// BytesSent returns the bytes that this process sent to others, by message kind. Responses
// count towards the kind of their request.
func (r *Registry) BytesSent() map[transport.Flow]transport.Traffic { return r.node.BytesSent() }
