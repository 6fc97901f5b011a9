package stand

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"
)

// run is one job seen by a worker.
type run struct {
	at     time.Time
	worker string
}

// ack is one acknowledged change of the configuration.
type acked struct {
	at      time.Time
	version uint64
}

// Call is one call as its caller saw it.
type Call struct {
	ID      string // the caller's own name for it
	Front   string
	Service string
	Safe    bool
	From    time.Time
	To      time.Time
	Status  int // 0 when there was no answer at all
	Ran     string
	Version uint64
	Body    string
	Cut     bool // the answer broke off after it began
}

// Observer sees every run and every answer and counts what must never be.
type Observer struct {
	mu     sync.Mutex
	runs   map[string][]run // caller's name of the call to its runs
	calls  []Call
	acks   []acked
	cut    map[string][]span // front to the times for which it was out of touch
	bad    map[string]int
	first  map[string][]time.Time // service to first arrivals
	second map[string][]time.Time
	notes  []string
	Window time.Duration
	Change time.Duration
	Leave  time.Duration
	Share  float64
	Allow  int
}

type span struct{ from, to time.Time }

// NewObserver makes an observer with the brief's bounds.
func NewObserver() *Observer {
	return &Observer{runs: map[string][]run{}, cut: map[string][]span{}, bad: map[string]int{}, first: map[string][]time.Time{}, second: map[string][]time.Time{},
		Window: 10 * time.Second, Change: 2 * time.Second, Leave: 2 * time.Second, Share: 0.2, Allow: 10}
}

// The counts of what must never happen.
const (
	Twice    = "ran twice on a never path"
	BusyRan  = "busy was answered but it ran"
	NotWhole = "success that isn't the worker's own whole answer"
	Stranger = "a job reached a service it was not sent to"
	Leaving  = "a new job reached a worker that left more than the bound ago"
	OldRules = "a node acted on an older version after the bound"
	StepBack = "a node stepped back to an older version"
	Repeats  = "repeats over a window beyond the bound"
	CutOff   = "an answer under way was cut off by a planned stop"
)

// Kinds lists the counts.
var Kinds = []string{Twice, BusyRan, NotWhole, Stranger, Leaving, OldRules, StepBack, Repeats, CutOff}

func (o *Observer) blame(kind, form string, args ...any) {
	o.bad[kind]++
	if len(o.notes) < 40 {
		o.notes = append(o.notes, kind+": "+fmt.Sprintf(form, args...))
	}
}

// Blame counts a violation that a plan found by itself.
func (o *Observer) Blame(kind, note string) {
	o.mu.Lock()
	o.blame(kind, "%s", note)
	o.mu.Unlock()
}

func (o *Observer) ran(job, call string, k *Worker, want string, left time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	if call == "" {
		call = job
	}
	if want != "" && want != k.Service {
		o.blame(Stranger, "%s for %s at %s", call, want, k.ID)
	}
	if !left.IsZero() && now.Sub(left) > o.Leave {
		o.blame(Leaving, "%s at %s %v after", call, k.ID, now.Sub(left))
	}
	if len(o.runs[call]) == 0 {
		o.first[k.Service] = append(o.first[k.Service], now)
	} else {
		o.second[k.Service] = append(o.second[k.Service], now)
	}
	o.runs[call] = append(o.runs[call], run{now, k.ID})
}

// Acked notes an acknowledged version.
func (o *Observer) Acked(version uint64) {
	o.mu.Lock()
	o.acks = append(o.acks, acked{time.Now(), version})
	o.mu.Unlock()
}

// Lost notes that a front was out of touch for a while.
func (o *Observer) Lost(front string, from, to time.Time) {
	o.mu.Lock()
	o.cut[front] = append(o.cut[front], span{from, to})
	o.mu.Unlock()
}

// Saw takes in a call that ended.
func (o *Observer) Saw(c Call) {
	o.mu.Lock()
	o.calls = append(o.calls, c)
	o.mu.Unlock()
}

// Verdict works out every count at the end.
func (o *Observer) Verdict() (map[string]int, []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	last := map[string][]Call{}
	for _, c := range o.calls {
		n := len(o.runs[c.ID])
		if n > 1 && !c.Safe {
			o.blame(Twice, "%s ran %d times: %v", c.ID, n, o.runs[c.ID])
		}
		if c.Status == 503 && n > 0 {
			o.blame(BusyRan, "%s ran at %s", c.ID, o.runs[c.ID][0].worker)
		}
		if c.Cut {
			o.blame(CutOff, "%s at %s", c.ID, c.Front)
		}
		if c.Status == 200 && !o.whole(c) {
			o.blame(NotWhole, "%s got %q", c.ID, c.Body)
		}
		o.oldRules(c)
		last[c.Front] = append(last[c.Front], c)
	}
	for front, l := range last {
		o.stepBack(front, l)
	}
	for s := range o.second {
		o.window(s)
	}
	return o.bad, o.notes
}

func (o *Observer) whole(c Call) bool {
	p := strings.Split(c.Body, "|")
	if len(p) != 5 || p[0] != c.Service || p[3] != c.ID {
		return false
	}
	for _, r := range o.runs[c.ID] {
		if r.worker == p[1] {
			return true
		}
	}
	return false
}

// oldRules checks that a call that began later than the bound after an
// acknowledgement was served by that version or a newer one.
func (o *Observer) oldRules(c Call) {
	if c.Version == 0 {
		return
	}
	for _, s := range o.cut[c.Front] {
		if c.From.After(s.from) && c.From.Before(s.to) {
			return
		}
	}
	for _, a := range o.acks {
		if a.version > c.Version && c.From.Sub(a.at) > o.Change {
			o.blame(OldRules, "%s at %s used %d, %v after %d", c.ID, c.Front, c.Version, c.From.Sub(a.at), a.version)
			return
		}
	}
}

// stepBack checks calls of one front that came one after the other.
func (o *Observer) stepBack(front string, l []Call) {
	sort.Slice(l, func(i, j int) bool { return l[i].To.Before(l[j].To) })
	ends := append([]Call(nil), l...)
	begins := append([]Call(nil), l...)
	sort.Slice(begins, func(i, j int) bool { return begins[i].From.Before(begins[j].From) })
	high, at := uint64(0), 0
	for _, c := range begins {
		for at < len(ends) && ends[at].To.Before(c.From) {
			high = max(high, ends[at].Version)
			at++
		}
		if c.Version != 0 && c.Version < high {
			o.blame(StepBack, "%s at %s used %d after %d", c.ID, front, c.Version, high)
		}
	}
}

// window slides over all repeats of a service.
func (o *Observer) window(service string) {
	one, two := o.first[service], o.second[service]
	for i, t := range two {
		lo := t.Add(-o.Window)
		n := 0
		for _, s := range two[:i+1] {
			if s.After(lo) {
				n++
			}
		}
		f := 0
		for _, s := range one {
			if s.After(lo) && !s.After(t) {
				f++
			}
		}
		if float64(n) > o.Share*float64(f)+float64(o.Allow) {
			o.blame(Repeats, "%s: %d repeats to %d first sends", service, n, f)
		}
	}
}

// Counts gives how many calls ended how.
func (o *Observer) Counts() map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := map[string]int{}
	for _, c := range o.calls {
		switch {
		case c.Status == 200:
			out["done"]++
		case c.Status == 503:
			out["busy"]++
		case c.Ran == "unknown":
			out["unknown"]++
		case c.Status == 0:
			out["no answer"]++
		default:
			out[fmt.Sprintf("status %d", c.Status)]++
		}
	}
	for _, r := range o.runs {
		out["runs"] += len(r)
	}
	out["calls"] = len(o.calls)
	return out
}

// Latency gives a quantile of the calls that were done.
func (o *Observer) Latency(service string, q float64) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	var l []time.Duration
	for _, c := range o.calls {
		if c.Status == 200 && (service == "" || c.Service == service) {
			l = append(l, c.To.Sub(c.From))
		}
	}
	if len(l) == 0 {
		return 0
	}
	sort.Slice(l, func(i, j int) bool { return l[i] < l[j] })
	return l[min(int(float64(len(l))*q), len(l)-1)]
}

// Runs counts the runs of a service.
func (o *Observer) Runs(service string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.first[service]) + len(o.second[service])
}

// Reasons counts why calls were not done, in the mesh's own words.
func (o *Observer) Reasons() map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := map[string]int{}
	for _, c := range o.calls {
		if c.Status != 200 {
			out[fmt.Sprintf("%d %s", c.Status, strings.TrimSpace(c.Body))]++
		}
	}
	return out
}
