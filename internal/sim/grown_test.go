package sim

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/standin/checker"
)

var dayNodes = flag.Int("nodes", 0, "nodes of the grown sites; 0: as drawn, 12 to 90 by command, 12 to 14 in the fixed days")

// fixedGrownSeeds are the seeds of the ordinary run at grown sites; between them they
// put every rule at risk.
var fixedGrownSeeds = []uint64{201, 300, 452}

// TestGrownDays plays seeded days as TestDays does, at sites shaped like the
// deployments after their growth: many small machines on slow links, a control plane of
// five machines of which two may be lost at once, expensive new connections, large
// bodies, and workers that fail in further ways. To run more seeds:
//
//	go test ./internal/sim -run 'TestGrownDays$' -days 50 -seed 1
func TestGrownDays(t *testing.T) { runDays(t, fixedGrownSeeds, checker.Rules, grownSite) }

// grownSite returns the grown deployment of a seed.
func grownSite(seed uint64) deployment {
	r := rand.New(rand.NewPCG(seed, 61))
	// Small sites are drawn more often, since they are simulated faster.
	fixedNodes, searchNodes := 12+r.IntN(3), 12+int(78*r.Float64()*r.Float64())
	nodes := fixedNodes
	if *dayCount > 0 {
		nodes = searchNodes
	}
	if *dayNodes > 0 {
		nodes = *dayNodes
	}
	slots := 4 + r.IntN(3)
	// Bytes per second of the links between machines: one deployment's value up to the
	// other's.
	linkRate := 975_000 + r.IntN(525_001)
	d := grownReaderSite(seed, nodes, slots)
	if seed%2 == 1 {
		d = grownDeskSite(seed, nodes, slots)
	}
	d.nodeBandwidth, d.coreBandwidth = linkRate, 10_750_000
	d.cores, d.tolerated, d.catchUp, d.extraTroubles = 5, 2, 6*time.Second, grownTroubles
	d.ways.HandshakeTime, d.ways.IdleTimeout, d.ways.ColdStart, d.ways.ColdStartFactor = 45*time.Millisecond, 2500*time.Millisecond, 3*time.Second, 2
	d.ways.Queue = 4 * slots
	return d
}

// splitNodes divides the nodes among the services by weight, at least two for each.
func splitNodes(nodes int, weights ...int) (counts []int) {
	sum := 0
	for _, weight := range weights {
		sum += weight
	}
	for _, weight := range weights {
		counts = append(counts, max(2, (weight*nodes+sum/2)/sum))
	}
	// The first service, which is the largest, absorbs the rounding difference.
	for _, n := range counts {
		nodes -= n
	}
	counts[0] += nodes
	return counts
}

// grownReaderSite is a reader's site spread over many small workers, with the
// deployment's own ratio of load to capacity.
func grownReaderSite(seed uint64, nodes, slots int) deployment {
	scale := loadScale(nodes*slots, 77*12)
	d := deploy(seed, nodes, slots, 500*time.Microsecond, 3*time.Millisecond, []string{"pages", "lending", "scans"}, splitNodes(nodes, 39, 29, 9), []routeRow{
		{kind: "read", repeat: "safe", service: "pages", rate: 964, work: 270, aim: 1000, left: 3000, back: 5000, further: 1, rank: 2, method: "GET", calls: map[string]float64{"check": 0.7}},
		{kind: "lend", repeat: "never", service: "lending", rate: 413, work: 350, aim: 1200, left: 4000, size: 1200, back: 1500, further: 1, rank: 1, method: "POST", calls: map[string]float64{"lookup": 0.7}},
		{kind: "scan", repeat: "upload", service: "scans", rate: 89.5, work: 320, aim: 1200, left: 5000, size: 60000, back: 1500, further: 1, rank: 1, method: "POST"},
		{kind: "credit", repeat: "never", service: "scans", rate: 94.7, work: 220, aim: 800, left: 3000, back: 1500, further: 1, rank: 2, method: "DELETE"},
		{kind: "check", repeat: "safe", service: "lending", work: 67, aim: 250, left: 800, back: 80, rank: 1, method: "GET"},
		{kind: "lookup", repeat: "safe", service: "scans", work: 67, aim: 250, left: 800, back: 80, rank: 1, method: "GET"},
	}, scale)
	return d.allowRetries(196 * scale)
}

// grownDeskSite is a site of service desks, spread in the same way, with large response
// bodies.
func grownDeskSite(seed uint64, nodes, slots int) deployment {
	scale := loadScale(nodes*slots, 88*18)
	d := deploy(seed, nodes, slots, 1400*time.Microsecond, time.Millisecond, []string{"search", "boarding", "manifests", "seats"}, splitNodes(nodes, 36, 25, 7, 20), []routeRow{
		{kind: "find", repeat: "safe", service: "search", rate: 1083, work: 330, aim: 1200, left: 6000, back: 3000, further: 2, rank: 1, method: "GET", calls: map[string]float64{"cabin": 0.2}},
		{kind: "board", repeat: "never", service: "boarding", rate: 426, work: 430, aim: 1200, left: 8000, size: 800, back: 800, further: 2, method: "POST", calls: map[string]float64{"form": 0.3}},
		{kind: "manifest", repeat: "download", service: "manifests", rate: 145, work: 260, aim: 1000, left: 6000, back: 90000, further: 2, rank: 2, method: "GET", calls: map[string]float64{"fare": 0.2}},
		{kind: "seats", repeat: "safe", service: "seats", rate: 174, work: 1300, aim: 4000, left: 25000, back: 6000, further: 2, rank: 3, method: "GET", calls: map[string]float64{"fare": 0.2}},
		{kind: "fare", repeat: "safe", service: "boarding", work: 82, aim: 300, left: 1000, back: 100, rank: 1, method: "GET"},
		{kind: "form", repeat: "safe", service: "manifests", work: 82, aim: 300, left: 1000, back: 100, rank: 1, method: "GET"},
		{kind: "cabin", repeat: "safe", service: "seats", work: 82, aim: 300, left: 1000, back: 100, rank: 1, method: "GET"},
	}, scale)
	return d.allowRetries(216 * scale)
}

// allowRetries sets the number of retries allowed besides their share of the requests.
func (d deployment) allowRetries(n float64) deployment {
	d.bounds.RetryAllowance = float64(int(n + 0.9))
	return d
}

// TestQuietGrownDay: at a grown site without any fault no rule is broken, and at least
// 97% of the requests are served.
func TestQuietGrownDay(t *testing.T) {
	skipUnderRace(t)
	for seed := range seeds(1) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, grownSite(seed), seed)
				if violations := s.runDay(20*time.Second, func() {}); len(violations) > 0 {
					t.Errorf("rules broken: %v", violations)
				}
				if served, expected := s.recorder.Served("", time.Time{}, time.Now()); expected < 300 || served < expected*97/100 {
					t.Errorf("%d of %d served", served, expected)
				}
			})
		})
	}
}

// loadScale is the share of the full load for a site with the given part of the full
// slots. The load is reduced by more than the slots are, since random peaks weigh more
// at small sites.
func loadScale(slots, fullSlots int) float64 {
	return *rateShare / 0.12 * 0.62 * float64(slots) / float64(fullSlots)
}
