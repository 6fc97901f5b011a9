package ctl

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"

	"puffincrank/internal/event"
	"puffincrank/internal/ormap"
	"puffincrank/internal/registry"
)

// showCluster fetches the status of the whole cluster and prints one view of it.
func (m *command) showCluster(show func(registry.ClusterStatus)) int {
	return m.call(http.MethodGet, "/puffin/status", nil, func(raw []byte) error {
		var cluster registry.ClusterStatus
		if err := json.Unmarshal(raw, &cluster); err != nil {
			return err
		}
		fmt.Fprintf(m.stderr, "version %d\n", cluster.Version)
		show(cluster)
		for _, node := range cluster.Unreachable {
			fmt.Fprintf(m.stderr, "no answer: %s\n", node)
		}
		return nil
	})
}

func (m *command) showStatus(cluster registry.ClusterStatus) {
	requests, done, refused, unknown, thinLinkRefusals := int64(0), int64(0), int64(0), int64(0), int64(0)
	digests := map[uint64]bool{}
	for _, p := range cluster.Proxies {
		requests, done, refused, unknown = requests+p.Requests.Jobs, done+p.Requests.Done, refused+p.Requests.Refused, unknown+p.Requests.Unknown
		digests[p.Digest] = true
		thinLinkRefusals += p.ThinLinkRefusals
	}
	for _, r := range cluster.Registries {
		digests[r.Digest] = true
	}
	fmt.Fprintf(m.stdout, "configuration version %d\n", cluster.Version)
	fmt.Fprintf(m.stdout, "members %d: %d proxies, %d registries; stores %d\n", len(cluster.Members), len(cluster.Proxies), len(cluster.Registries), len(cluster.Stores))
	fmt.Fprintf(m.stdout, "writer %s, judge %s, steward %s\n", orNobody(cluster.Roles["writer"]), orNobody(cluster.Roles["judge"]), orNobody(cluster.Roles["steward"]))
	if thinLinkRefusals > 0 {
		fmt.Fprintf(m.stdout, "sends refused for thin links %d\n", thinLinkRefusals)
	}
	fmt.Fprintf(m.stdout, "jobs %d: done %d, busy %d, unknown %d\n", requests, done, refused, unknown)
	if len(digests) == 1 {
		fmt.Fprintln(m.stdout, "registry replicas are all equal")
	} else {
		fmt.Fprintf(m.stdout, "registry replicas are in %d states\n", len(digests))
	}
	var rows [][]string
	for _, s := range cluster.Stores {
		rows = append(rows, []string{s.Node, s.Zone, s.Role, fmt.Sprint(s.Index), fmt.Sprint(s.Config), yesNo(s.Ready), s.Reason})
	}
	m.table("STORE AREA ROLE SLOT CONFIG READY WHY", rows)
}

func orNobody(s string) string {
	if s == "" {
		return "nobody"
	}
	return s
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func (m *command) showNodes(cluster registry.ClusterStatus) {
	var rows [][]string
	for _, s := range cluster.Registries {
		rows = append(rows, []string{s.Node, "registry", s.Zone, s.State, fmt.Sprint(s.Version), fmt.Sprintf("%d sessions", len(s.Sessions)), fmt.Sprint(s.Entries)})
	}
	for _, s := range cluster.Stores {
		rows = append(rows, []string{s.Node, "store", s.Zone, s.Role, fmt.Sprint(s.Config), "-", "-"})
	}
	for _, p := range cluster.Proxies {
		rows = append(rows, []string{p.Node, "proxy", p.Zone, p.State, fmt.Sprint(p.Version), p.Session, fmt.Sprint(p.Entries)})
	}
	m.table("NODE ROLE AREA STATE CONFIG SESSION ENTRIES", rows)
}

func (m *command) showWorkers(cluster registry.ClusterStatus) {
	var rows [][]string
	for _, p := range cluster.Proxies {
		for _, w := range p.Workers {
			// The health of a worker is the median of the values that the ingress
			// proxies have for it.
			var values []float64
			for _, observer := range cluster.Proxies {
				if v, ok := observer.Health[w.Worker]; ok {
					values = append(values, v)
				}
			}
			sort.Float64s(values)
			median := "-"
			if len(values) > 0 {
				median = fmt.Sprintf("%.2f", values[len(values)/2])
			}
			rows = append(rows, []string{w.Worker, w.Service, p.Node, p.Zone, w.State, fmt.Sprintf("%d/%d", w.Used, w.Slots), median})
		}
	}
	m.table("WORKER SERVICE NODE AREA STATE USED FITNESS", rows)
}

func (m *command) showRoles(cluster registry.ClusterStatus) {
	var rows [][]string
	for _, role := range []string{"writer", "judge", "steward"} {
		rows = append(rows, []string{role, orNobody(cluster.Roles[role])})
	}
	m.table("DUTY HOLDER", rows)
}

func (m *command) showClasses(cluster registry.ClusterStatus) {
	var rows [][]string
	for _, p := range cluster.Proxies {
		for w, usage := range p.Classes {
			for c, u := range usage {
				rows = append(rows, []string{c, w, fmt.Sprint(u.Share), fmt.Sprint(u.Used), fmt.Sprint(u.Lent), fmt.Sprint(u.Borrowed),
					fmt.Sprint(u.Waiting), fmt.Sprint(u.Served), fmt.Sprint(u.Refused)})
			}
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i][0]+rows[i][1] < rows[j][0]+rows[j][1] })
	m.table("CLASS WORKER SHARE USED LENT BORROWED WAITING SERVED REFUSED", rows)
}

func (m *command) showServices(raw []byte) error {
	var got struct {
		Version uint64        `json:"version"`
		Entries []ormap.Entry `json:"entries"`
	}
	if err := json.Unmarshal(raw, &got); err != nil {
		return err
	}
	fmt.Fprintf(m.stderr, "version %d\n", got.Version)
	sort.Slice(got.Entries, func(i, j int) bool {
		return got.Entries[i].Service+got.Entries[i].Worker < got.Entries[j].Service+got.Entries[j].Worker
	})
	var rows [][]string
	for _, e := range got.Entries {
		rows = append(rows, []string{e.Service, e.Worker, e.Owner, e.Zone, e.Meta["state"], e.Meta["slots"]})
	}
	m.table("SERVICE WORKER OWNER AREA STATE SLOTS", rows)
	return nil
}

func (m *command) showRoutes(raw []byte) error {
	var got struct {
		Version  uint64 `json:"version"`
		Document struct {
			Paths []map[string]any `json:"paths"`
		} `json:"document"`
	}
	if err := json.Unmarshal(raw, &got); err != nil {
		return err
	}
	fmt.Fprintf(m.stderr, "version %d\n", got.Version)
	var rows [][]string
	for _, p := range got.Document.Paths {
		row := routeRow(p)
		if t, ok := p["trial"].(map[string]any); ok {
			row = append(row, fmt.Sprintf("%v%% in trial %v", t["slice"], t["id"]))
		} else {
			row = append(row, "-")
		}
		rows = append(rows, row)
	}
	m.table("PATH HOST METHOD PREFIX SERVICE CLASS LEFT_MS AIM_MS REPEAT TRIES TRIAL", rows)
	return nil
}

func (m *command) showHistory(raw []byte) error {
	var got struct {
		Version uint64 `json:"version"`
		History []struct {
			Version uint64 `json:"version"`
			Who     string `json:"who"`
			Why     string `json:"why"`
		} `json:"history"`
	}
	if err := json.Unmarshal(raw, &got); err != nil {
		return err
	}
	fmt.Fprintf(m.stderr, "version %d\n", got.Version)
	var rows [][]string
	for _, h := range got.History {
		rows = append(rows, []string{fmt.Sprint(h.Version), h.Who, h.Why})
	}
	m.table("VERSION WHO WHY", rows)
	return nil
}

func (m *command) showEvents(raw []byte) error {
	var got struct {
		Events []event.Entry `json:"events"`
		Mute   []string      `json:"mute"`
	}
	if err := json.Unmarshal(raw, &got); err != nil {
		return err
	}
	filter := m.args.Events
	var rows [][]string
	for _, e := range got.Events {
		if (filter.Node != "" && e.Node != filter.Node) || (filter.Name != "" && e.Name != filter.Name && fmt.Sprint(e.Number) != filter.Name) {
			continue
		}
		rows = append(rows, []string{e.Time.Format("15:04:05.000"), e.Node, fmt.Sprint(e.Number), e.Name, e.Text})
	}
	if len(rows) > filter.Limit {
		rows = rows[len(rows)-filter.Limit:]
	}
	m.table("TIME NODE EVENT NAME DETAIL", rows)
	for _, node := range got.Mute {
		fmt.Fprintf(m.stderr, "no answer: %s\n", node)
	}
	return nil
}
