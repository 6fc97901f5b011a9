package standin

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"
)

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
	if len(p) != 5 || !oneOf(c.Service, p[0]) || p[3] != c.ID {
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
			why := "the worker's own answer"
			var said struct{ Wrong string }
			if json.Unmarshal([]byte(c.Body), &said) == nil && said.Wrong != "" {
				why = said.Wrong
			}
			out[fmt.Sprintf("%d %s", c.Status, why)]++
		}
	}
	return out
}
