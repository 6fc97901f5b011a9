package sim

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"puffincrank/internal/standin/actors"
	"puffincrank/internal/standin/checker"
)

// deployment describes a site. Names of services, hosts and routes are random.
type deployment struct {
	nodes         int
	services      []string
	serviceIndex  []int // index into services, by node
	lines         []*actors.RequestKind
	prefixes      map[string]string
	ways          actors.WorkerBehavior
	resets        map[string]bool
	latency       time.Duration
	clientLatency time.Duration // one-way latency between clients and their node
	retryRule     map[string]string
	serviceByKind map[string]string // line to service
	rank          map[string]int
	bounds        checker.Bounds
	catchUp       time.Duration
	cores         int
	tolerated     int        // number of control plane machines that may be lost at once
	nodeBandwidth int        // egress of a node's machine in bytes per second; 0 is unlimited
	coreBandwidth int        // egress of a control plane machine in bytes per second
	extraTroubles []dayFault // troubles of this site alone
}

// num converts a number to its form in a settings file.
func num(n float64) json.Number { return json.Number(strconv.FormatFloat(n, 'f', -1, 64)) }

// settings returns the bounds as settings, which every process gets.
func (d deployment) settings() map[string]any {
	bounds, settings := d.bounds, map[string]any{}
	for k, v := range map[string]time.Duration{"change_ms": bounds.DocumentChange, "leave_ms": bounds.Leave, "window_ms": bounds.RetryWindow, "return_ms": bounds.Recovery, "history_ms": bounds.WatchHistory,
		"grace_ms": bounds.Grace, "touch_ms": bounds.Connect, "ack_ms": bounds.Ack, "back_ms": bounds.StepBack, "free_ms": bounds.LockRelease, "catch_up_ms": d.catchUp} {
		settings[k] = num(float64(v.Milliseconds()))
	}
	return settings
}

// randomized draws random values for everything that a site may choose for itself.
func (d deployment) randomized(seed uint64) deployment {
	r := rand.New(rand.NewPCG(seed, 51))
	between := func(least, most int) time.Duration { return ms(least + r.IntN(most-least+1)) }
	b := &d.bounds
	b.DocumentChange, b.Leave, b.RetryWindow, b.WatchHistory = between(1200, 4000), between(1000, 3500), between(5000, 20000), between(15000, 30000)
	b.Connect, b.Grace, b.StepBack = between(2000, 5000), 2*b.Leave+between(2000, 4000), between(200, 400)
	b.RetryShare = 0.1 + 0.2*r.Float64()
	// The two are drawn independently, so either may be the larger one.
	b.Recovery, d.catchUp = between(6000, 20000), between(3000, 8000)
	d.tolerated = 1 + r.IntN(2)
	d.cores = 2*d.tolerated + 1 + r.IntN(2)
	d.latency, d.clientLatency = between(0, 15), between(0, 6)
	w := &d.ways
	w.DrainTime, w.Queue, w.CloseShare = b.Leave, r.IntN(4), []float64{0, 0.02, 0.3, 1}[r.IntN(4)]
	w.IdleTimeout = []time.Duration{0, time.Second, 2 * time.Second, 9 * time.Second}[r.IntN(4)]
	w.MaxConns = d.ways.Slots * (2 + r.IntN(6))
	w.ColdStart, w.ColdStartFactor, w.HandshakeTime = between(0, 8000), 1+2*r.Float64(), between(0, 8)
	for _, s := range d.services {
		d.resets[s] = r.IntN(2) == 0
	}
	return d
}

// randomizedBounds draws the bounds independently of each other, as a site may set them.
func (d deployment) randomizedBounds(seed uint64) deployment {
	d = d.randomized(seed)
	r := rand.New(rand.NewPCG(seed, 52))
	between := func(least, most int) time.Duration { return ms(least + r.IntN(most-least+1)) }
	b := &d.bounds
	b.DocumentChange, b.Leave, b.Connect, d.catchUp = between(800, 6000), between(800, 6000), between(1500, 4000), between(2500, 8000)
	b.Recovery, b.Ack, b.UnsettledExtension = between(6000, 15000), between(2500, 6000), between(2000, 8000)
	b.Grace, b.LockRelease, b.WatchHistory = b.Leave+between(2000, 5000), between(500, 3000), between(5000, 20000)
	d.ways.DrainTime = b.Leave
	return d
}

func (d deployment) serviceOf(i int) int { return d.serviceIndex[i%len(d.serviceIndex)] }

// wordGenerator draws random names, which differ from seed to seed.
type wordGenerator struct{ *rand.Rand }

func (n wordGenerator) word() string {
	const vowels, consonants = "aeiou", "bdfghjklmnprstvwz"
	word := ""
	for range 2 {
		word += string(consonants[n.IntN(len(consonants))]) + string(vowels[n.IntN(len(vowels))])
	}
	return fmt.Sprintf("%s%d", word, n.IntN(1000))
}

type routeRow struct {
	kind, repeat, service string
	rate                  float64
	work, aim, left       int // ms
	size, back            int
	further, rank         int
	method                string
	calls                 map[string]float64
}

func deploy(seed uint64, nodes, slots int, far, clientLatency time.Duration, roles []string, workers []int, rows []routeRow, scale float64) deployment {
	words := wordGenerator{rand.New(rand.NewPCG(seed, 31))}
	// The retry allowance grows with the load, as the retry share does.
	d := deployment{nodes: nodes, cores: 3, tolerated: 1, catchUp: 4 * time.Second, bounds: checker.UsualBounds, latency: far, clientLatency: clientLatency, prefixes: map[string]string{}, resets: map[string]bool{}, retryRule: map[string]string{}, serviceByKind: map[string]string{}, rank: map[string]int{},
		ways: actors.WorkerBehavior{Slots: slots, Queue: max(slots/3, 2), MaxConns: 10 * slots, HandshakeTime: 1500 * time.Microsecond, IdleTimeout: 5 * time.Second, LoadFactor: 1.4, ColdStart: 4 * time.Second, ColdStartFactor: 1.8,
			CloseShare: 0.01, DrainTime: 2 * time.Second, HealthPath: "/" + words.word()}}
	d.bounds.RetryAllowance = float64(int(60*scale + 0.9))
	namesByRole := map[string]string{}
	for i, name := range roles {
		namesByRole[name] = words.word()
		d.services = append(d.services, namesByRole[name])
		d.resets[namesByRole[name]] = i == 1
	}
	// Spreads the workers of each service over all zones.
	remaining := append([]int(nil), workers...)
	for len(d.serviceIndex) < nodes {
		for i := range remaining {
			if remaining[i] > 0 {
				remaining[i]--
				d.serviceIndex = append(d.serviceIndex, i)
			}
		}
	}
	hosts := []string{words.word() + ".example", words.word() + ".example"}
	byKind := map[string]*actors.RequestKind{}
	for i, row := range rows {
		l := &actors.RequestKind{Kind: row.kind, Host: hosts[i%2], Method: row.method, Prefix: "/" + words.word() + "/", Retryable: row.repeat == "safe" || row.repeat == "download", Rate: row.rate * scale,
			Size: row.size, AnswerSize: row.back, WorkTime: ms(row.work), TargetLatency: ms(row.aim), Timeout: ms(row.left), RouteTimeout: ms(row.left), Retries: row.further}
		byKind[row.kind] = l
		d.lines = append(d.lines, l)
		d.retryRule[row.kind], d.serviceByKind[row.kind], d.rank[row.kind] = row.repeat, namesByRole[row.service], row.rank
	}
	for _, row := range rows {
		for calledKind, share := range row.calls {
			byKind[row.kind].Calls = append(byKind[row.kind].Calls, actors.NestedCall{Line: byKind[calledKind], Share: share})
		}
	}
	return d
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// draft is the first configuration document of the deployment.
func (d deployment) draft(number uint64) *actors.Draft {
	document := &actors.Draft{Number: number, Services: append([]string(nil), d.services...), MaxConns: d.ways.MaxConns, HealthPath: d.ways.HealthPath}
	for _, l := range d.lines {
		document.Routes = append(document.Routes, actors.RouteDraft{Name: "p-" + l.Kind, Host: l.Host, Prefix: l.Prefix, RetryMode: d.retryRule[l.Kind], Split: map[string]int{d.serviceByKind[l.Kind]: 1}, Timeout: l.RouteTimeout, TargetLatency: l.TargetLatency, MaxAttempts: 2 + len(l.Kind)%2, Priority: d.rank[l.Kind]})
	}
	document.Routes = append(document.Routes, actors.NestedRoutes(document.Routes)...)
	return document
}

// readerDeployment is a deployment with short reads, writes and uploads.
func readerDeployment(seed uint64, scale float64) deployment {
	return deploy(seed, 12, 2+int(seed/2%2), 900*time.Microsecond, 3*time.Millisecond, []string{"pages", "lending", "scans"}, []int{5, 4, 3}, []routeRow{
		{kind: "read", repeat: "safe", service: "pages", rate: 554, work: 60, aim: 200, left: 800, back: 3000, further: 1, rank: 1, method: "GET"},
		{kind: "lend", repeat: "never", service: "lending", rate: 237, work: 78, aim: 250, left: 1000, size: 200, back: 200, further: 1, method: "POST", calls: map[string]float64{"lookup": 0.2}},
		{kind: "scan", repeat: "upload", service: "scans", rate: 51, work: 72, aim: 300, left: 1200, size: 60000, back: 100, further: 1, rank: 2, method: "PUT", calls: map[string]float64{"check": 0.3}},
		{kind: "credit", repeat: "never", service: "scans", rate: 54, work: 48, aim: 150, left: 600, size: 300, back: 100, further: 1, rank: 1, method: "POST"},
		{kind: "check", repeat: "safe", service: "lending", work: 15, aim: 60, left: 200, back: 80, rank: 1, method: "GET"},
		{kind: "lookup", repeat: "safe", service: "scans", work: 15, aim: 60, left: 200, back: 80, rank: 1, method: "GET"},
	}, scale)
}

// bookingDeployment is a deployment with longer runs and large responses.
func bookingDeployment(seed uint64, scale float64) deployment {
	return deploy(seed, 14, 3+int(seed/2%2), 1400*time.Microsecond, time.Millisecond, []string{"search", "boarding", "manifests", "seats"}, []int{5, 3, 3, 3}, []routeRow{
		{kind: "find", repeat: "safe", service: "search", rate: 279, work: 160, aim: 500, left: 3000, back: 1500, further: 2, rank: 1, method: "GET", calls: map[string]float64{"cabin": 0.1}},
		{kind: "board", repeat: "never", service: "boarding", rate: 109, work: 210, aim: 600, left: 4000, size: 300, back: 300, further: 2, method: "POST", calls: map[string]float64{"form": 0.3}},
		{kind: "manifest", repeat: "download", service: "manifests", rate: 37, work: 130, aim: 400, left: 2500, back: 120000, further: 2, rank: 2, method: "GET", calls: map[string]float64{"fare": 0.2}},
		{kind: "seats", repeat: "safe", service: "seats", rate: 45, work: 640, aim: 2000, left: 12000, back: 6000, further: 2, rank: 3, method: "GET", calls: map[string]float64{"fare": 0.2}},
		{kind: "fare", repeat: "safe", service: "boarding", work: 40, aim: 150, left: 500, back: 100, rank: 1, method: "GET"},
		{kind: "form", repeat: "safe", service: "manifests", work: 40, aim: 150, left: 500, back: 100, rank: 1, method: "GET"},
		{kind: "cabin", repeat: "safe", service: "seats", work: 40, aim: 150, left: 500, back: 100, rank: 1, method: "GET"},
	}, scale)
}
