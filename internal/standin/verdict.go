package standin

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"
)

// Violations checks all records and returns the number of violations of each kind, with notes on
// the first ones.
func (o *Observer) Violations() (map[string]int, []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	byIngress := map[string][]Call{}
	for _, c := range o.calls {
		executions := len(o.executions[c.ID])
		if executions > 1 && !c.Safe {
			o.recordViolation(Twice, "%s was executed %d times: %v", c.ID, executions, o.executions[c.ID])
		}
		if c.Status == 503 && executions > 0 {
			o.recordViolation(RanThoughBusy, "%s was executed at %s", c.ID, o.executions[c.ID][0].worker)
		}
		if c.Cut {
			o.recordViolation(CutOff, "%s at %s", c.ID, c.Ingress)
		}
		if c.Status == 200 && !o.isWorkersAnswer(c) {
			o.recordViolation(NotWorkersAnswer, "%s got %q", c.ID, c.Body)
		}
		o.checkVersionAge(c)
		byIngress[c.Ingress] = append(byIngress[c.Ingress], c)
	}
	for ingress, calls := range byIngress {
		o.checkVersionOrder(ingress, calls)
	}
	for service := range o.retryArrivals {
		o.checkRetries(service)
	}
	return o.violations, o.notes
}

func (o *Observer) isWorkersAnswer(call Call) bool {
	fields := strings.Split(call.Body, "|")
	if len(fields) != 5 || !includesService(call.Service, fields[0]) || fields[3] != call.ID {
		return false
	}
	for _, r := range o.executions[call.ID] {
		if r.worker == fields[1] {
			return true
		}
	}
	return false
}

// checkVersionAge checks that a call that began later than the bound after the acknowledgement
// of a version was served by that version or a newer one.
func (o *Observer) checkVersionAge(call Call) {
	if call.Version == 0 {
		return
	}
	for _, s := range o.disconnected[call.Ingress] {
		if call.From.After(s.from) && call.From.Before(s.to) {
			return
		}
	}
	for _, a := range o.ackedVersions {
		if a.version > call.Version && call.From.Sub(a.at) > o.ConfigBound {
			o.recordViolation(StaleVersion, "%s at %s used version %d, %v after version %d was acknowledged", call.ID, call.Ingress, call.Version, call.From.Sub(a.at), a.version)
			return
		}
	}
}

// checkVersionOrder checks that an ingress used no older version for a call than for any call
// that had ended before it began.
func (o *Observer) checkVersionOrder(ingress string, calls []Call) {
	sort.Slice(calls, func(i, j int) bool { return calls[i].To.Before(calls[j].To) })
	ends := append([]Call(nil), calls...)
	begins := append([]Call(nil), calls...)
	sort.Slice(begins, func(i, j int) bool { return begins[i].From.Before(begins[j].From) })
	highest, ended := uint64(0), 0
	for _, c := range begins {
		for ended < len(ends) && ends[ended].To.Before(c.From) {
			highest = max(highest, ends[ended].Version)
			ended++
		}
		if c.Version != 0 && c.Version < highest {
			o.recordViolation(VersionStepBack, "%s at %s used version %d after version %d", c.ID, ingress, c.Version, highest)
		}
	}
}

// checkRetries checks each window that ends with a retry to the service.
func (o *Observer) checkRetries(service string) {
	firsts, retries := o.firstArrivals[service], o.retryArrivals[service]
	for i, t := range retries {
		windowStart := t.Add(-o.RetryWindow)
		retryCount := 0
		for _, s := range retries[:i+1] {
			if s.After(windowStart) {
				retryCount++
			}
		}
		firstCount := 0
		for _, s := range firsts {
			if s.After(windowStart) && !s.After(t) {
				firstCount++
			}
		}
		if float64(retryCount) > o.RetryShare*float64(firstCount)+float64(o.RetryAllowance) {
			o.recordViolation(TooManyRetries, "%s: %d repeats to %d first sends", service, retryCount, firstCount)
		}
	}
}

// Counts returns the number of calls by outcome.
func (o *Observer) Counts() map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	counts := map[string]int{}
	for _, c := range o.calls {
		switch {
		case c.Status == 200:
			counts["done"]++
		case c.Status == 503:
			counts["busy"]++
		case c.Ran == "unknown":
			counts["unknown"]++
		case c.Status == 0:
			counts["no answer"]++
		default:
			counts[fmt.Sprintf("status %d", c.Status)]++
		}
	}
	for _, r := range o.executions {
		counts["runs"] += len(r)
	}
	counts["calls"] = len(o.calls)
	return counts
}

// Latency returns a quantile of the latency of the calls answered with 200.
func (o *Observer) Latency(service string, quantile float64) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	var durations []time.Duration
	for _, c := range o.calls {
		if c.Status == 200 && (service == "" || c.Service == service) {
			durations = append(durations, c.To.Sub(c.From))
		}
	}
	if len(durations) == 0 {
		return 0
	}
	sort.Slice(durations, func(i, j int) bool { return durations[i] < durations[j] })
	return durations[min(int(float64(len(durations))*quantile), len(durations)-1)]
}

// Executions returns the number of executions by a service.
func (o *Observer) Executions(service string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.firstArrivals[service]) + len(o.retryArrivals[service])
}

// Reasons counts the calls that were not answered with 200 by status and the reason that the
// mesh gave.
func (o *Observer) Reasons() map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	reasons := map[string]int{}
	for _, c := range o.calls {
		if c.Status != 200 {
			why := "the worker's own answer"
			var answer struct{ Wrong string }
			if json.Unmarshal([]byte(c.Body), &answer) == nil && answer.Wrong != "" {
				why = answer.Wrong
			}
			reasons[fmt.Sprintf("%d %s", c.Status, why)]++
		}
	}
	return reasons
}
