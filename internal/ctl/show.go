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

// fleet asks for the whole fleet and shows one side of it.
func (m *command) fleet(f func(registry.ClusterStatus)) int {
	return m.show(http.MethodGet, "/puffin/status", nil, func(raw []byte) error {
		var got registry.ClusterStatus
		if err := json.Unmarshal(raw, &got); err != nil {
			return err
		}
		fmt.Fprintf(m.say, "version %d\n", got.Version)
		f(got)
		for _, n := range got.Unreachable {
			fmt.Fprintf(m.say, "no answer: %s\n", n)
		}
		return nil
	})
}

func (m *command) showStatus(f registry.ClusterStatus) {
	jobs, done, busy, unknown, slim := int64(0), int64(0), int64(0), int64(0), int64(0)
	digests := map[uint64]bool{}
	for _, p := range f.Proxies {
		jobs, done, busy, unknown = jobs+p.Requests.Jobs, done+p.Requests.Done, busy+p.Requests.Refused, unknown+p.Requests.Unknown
		digests[p.Digest] = true
		slim += p.ThinLinkRefusals
	}
	for _, r := range f.Registries {
		digests[r.Digest] = true
	}
	fmt.Fprintf(m.out, "configuration version %d\n", f.Version)
	fmt.Fprintf(m.out, "members %d: %d proxies, %d registries; stores %d\n", len(f.Members), len(f.Proxies), len(f.Registries), len(f.Stores))
	fmt.Fprintf(m.out, "writer %s, judge %s, steward %s\n", or(f.Roles["writer"]), or(f.Roles["judge"]), or(f.Roles["steward"]))
	if slim > 0 {
		fmt.Fprintf(m.out, "sends refused for thin links %d\n", slim)
	}
	fmt.Fprintf(m.out, "jobs %d: done %d, busy %d, unknown %d\n", jobs, done, busy, unknown)
	if len(digests) == 1 {
		fmt.Fprintln(m.out, "registry replicas are all equal")
	} else {
		fmt.Fprintf(m.out, "registry replicas are in %d states\n", len(digests))
	}
	var rows [][]string
	for _, s := range f.Stores {
		rows = append(rows, []string{s.Node, s.Zone, s.Role, fmt.Sprint(s.Index), fmt.Sprint(s.Config), yes(s.Ready), s.Reason})
	}
	m.table("STORE AREA ROLE SLOT CONFIG READY WHY", rows)
}

func or(s string) string {
	if s == "" {
		return "nobody"
	}
	return s
}

func yes(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func (m *command) showNodes(f registry.ClusterStatus) {
	var rows [][]string
	for _, s := range f.Registries {
		rows = append(rows, []string{s.Node, "registry", s.Zone, s.State, fmt.Sprint(s.Version), fmt.Sprintf("%d sessions", len(s.Sessions)), fmt.Sprint(s.Entries)})
	}
	for _, s := range f.Stores {
		rows = append(rows, []string{s.Node, "store", s.Zone, s.Role, fmt.Sprint(s.Config), "-", "-"})
	}
	for _, p := range f.Proxies {
		rows = append(rows, []string{p.Node, "proxy", p.Zone, p.State, fmt.Sprint(p.Version), p.Session, fmt.Sprint(p.Entries)})
	}
	m.table("NODE ROLE AREA STATE CONFIG SESSION ENTRIES", rows)
}

func (m *command) showWorkers(f registry.ClusterStatus) {
	var rows [][]string
	for _, p := range f.Proxies {
		for _, w := range p.Workers {
			// The mesh's view of fitness is the middle of what the fronts hold.
			var fit []float64
			for _, o := range f.Proxies {
				if v, ok := o.Health[w.Worker]; ok {
					fit = append(fit, v)
				}
			}
			sort.Float64s(fit)
			mid := "-"
			if len(fit) > 0 {
				mid = fmt.Sprintf("%.2f", fit[len(fit)/2])
			}
			rows = append(rows, []string{w.Worker, w.Service, p.Node, p.Zone, w.State, fmt.Sprintf("%d/%d", w.Used, w.Slots), mid})
		}
	}
	m.table("WORKER SERVICE NODE AREA STATE USED FITNESS", rows)
}

func (m *command) showDuties(f registry.ClusterStatus) {
	var rows [][]string
	for _, d := range []string{"writer", "judge", "steward"} {
		rows = append(rows, []string{d, or(f.Roles[d])})
	}
	m.table("DUTY HOLDER", rows)
}

func (m *command) showClasses(f registry.ClusterStatus) {
	var rows [][]string
	for _, p := range f.Proxies {
		for w, all := range p.Classes {
			for c, u := range all {
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
	fmt.Fprintf(m.say, "version %d\n", got.Version)
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

func (m *command) showPaths(raw []byte) error {
	var got struct {
		Version  uint64 `json:"version"`
		Document struct {
			Paths []map[string]any `json:"paths"`
		} `json:"document"`
	}
	if err := json.Unmarshal(raw, &got); err != nil {
		return err
	}
	fmt.Fprintf(m.say, "version %d\n", got.Version)
	var rows [][]string
	for _, p := range got.Document.Paths {
		row := pathRow(p)
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
	fmt.Fprintf(m.say, "version %d\n", got.Version)
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
	a := m.a.Events
	var rows [][]string
	for _, e := range got.Events {
		if (a.Node != "" && e.Node != a.Node) || (a.Name != "" && e.Name != a.Name && fmt.Sprint(e.Number) != a.Name) {
			continue
		}
		rows = append(rows, []string{e.Time.Format("15:04:05.000"), e.Node, fmt.Sprint(e.Number), e.Name, e.Text})
	}
	if len(rows) > a.Last {
		rows = rows[len(rows)-a.Last:]
	}
	m.table("TIME NODE EVENT NAME DETAIL", rows)
	for _, n := range got.Mute {
		fmt.Fprintf(m.say, "no answer: %s\n", n)
	}
	return nil
}
