// Package judge compares the two arms of a trial: failure rates by a confidence interval for the
// difference of two proportions, latency by a ratio of quantiles.
package judge

import (
	"fmt"
	"math"
	"time"

	"puffincrank/internal/protocol"
)

// Bounds are the configured limits of a trial.
type Bounds struct {
	MinRequests        uint64        // requests of each arm before the first evaluation
	MinAge             time.Duration // age of the trial before the first evaluation
	MaxAge             time.Duration // age at which an undecided trial is held back
	Risk               float64       // probability of a wrong verdict over all evaluations
	MaxFailureIncrease float64       // tolerated increase of the failure rate
	MaxLatencyRatio    float64       // tolerated ratio of the latency quantiles
	Quantile           float64
}

// evaluations is the number of evaluations over which the risk is split, since a trial is evaluated
// repeatedly at growing counts and each evaluation can err.
const evaluations = 8

// Arm holds the counts of one arm, summed over all ingresses.
type Arm struct {
	Done        uint64   `json:"done"`
	Failed      uint64   `json:"failed"` // failed, unknown and refused together
	LatencyBins []uint64 `json:"-"`
}

// Add adds the counts of an ingress. A refusal counts as a failure: a change that sends requests
// where no worker accepts them must not be promoted.
func (a *Arm) Add(counts protocol.ArmCounts) {
	a.Done += counts.Done
	a.Failed += counts.Failed + counts.Unknown + counts.Refused
	for len(a.LatencyBins) < len(counts.LatencyBins) {
		a.LatencyBins = append(a.LatencyBins, 0)
	}
	for i, n := range counts.LatencyBins {
		a.LatencyBins[i] += n
	}
}

// Total returns the number of requests of the arm.
func (a *Arm) Total() uint64 { return a.Done + a.Failed }

// The verdicts.
const (
	Wait     = "wait"
	Promote  = "good"
	HoldBack = "bad"
)

// Facts are the verdict and the figures behind it.
type Facts struct {
	Route          string  `json:"path"`
	Verdict        string  `json:"word"`
	Reason         string  `json:"why"`
	Old            Arm     `json:"old"`
	New            Arm     `json:"new"`
	FailureRateOld float64 `json:"fail_rate_old"`
	FailureRateNew float64 `json:"fail_rate_new"`
	DiffLow        float64 `json:"fail_diff_low"`
	DiffHigh       float64 `json:"fail_diff_high"`
	LatencyOld     float64 `json:"latency_ms_old"`
	LatencyNew     float64 `json:"latency_ms_new"`
	LatencyRatio   float64 `json:"latency_ratio"`
	AgeMS          int64   `json:"age_ms"`
}

// Evaluate compares the arms of one route in a trial.
func Evaluate(route string, oldArm, newArm Arm, age time.Duration, bounds Bounds) Facts {
	facts := Facts{Route: route, Verdict: Wait, Old: oldArm, New: newArm, AgeMS: age.Milliseconds()}
	if oldArm.Total() > 0 && newArm.Total() > 0 {
		facts.FailureRateOld, facts.FailureRateNew = failureRate(oldArm), failureRate(newArm)
		facts.DiffLow, facts.DiffHigh = failureDiffInterval(oldArm, newArm, bounds.Risk/evaluations)
		facts.LatencyOld, facts.LatencyNew = quantile(oldArm.LatencyBins, bounds.Quantile), quantile(newArm.LatencyBins, bounds.Quantile)
		if facts.LatencyOld > 0 {
			facts.LatencyRatio = facts.LatencyNew / facts.LatencyOld
		}
	}
	if age < bounds.MinAge || newArm.Total() < bounds.MinRequests || oldArm.Total() < bounds.MinRequests {
		facts.Reason = fmt.Sprintf("%d and %d jobs in %v are too few yet", oldArm.Total(), newArm.Total(), age.Round(time.Second))
		if age >= bounds.MaxAge {
			facts.Verdict, facts.Reason = HoldBack, fmt.Sprintf("too little traffic: %d and %d jobs in %v", oldArm.Total(), newArm.Total(), age.Round(time.Second))
		}
		return facts
	}
	z := normalQuantile(bounds.Risk / evaluations)
	newLow, newHigh := quantileBounds(newArm.LatencyBins, bounds.Quantile, z)
	oldLow, oldHigh := quantileBounds(oldArm.LatencyBins, bounds.Quantile, z)
	switch {
	case facts.DiffLow > 0 && facts.FailureRateNew-facts.FailureRateOld > bounds.MaxFailureIncrease:
		facts.Verdict, facts.Reason = HoldBack, fmt.Sprintf("fails more: %.2f %% against %.2f %%", 100*facts.FailureRateNew, 100*facts.FailureRateOld)
	case newArm.Done > 0 && newLow > bounds.MaxLatencyRatio*oldHigh:
		facts.Verdict, facts.Reason = HoldBack, fmt.Sprintf("slower: quantile %.0f ms against %.0f ms", facts.LatencyNew, facts.LatencyOld)
	case facts.DiffHigh < bounds.MaxFailureIncrease && newArm.Done > 0 && newHigh <= bounds.MaxLatencyRatio*max(oldLow, 1):
		facts.Verdict, facts.Reason = Promote, fmt.Sprintf("failure rate %.2f %% against %.2f %%, latency ratio %.2f", 100*facts.FailureRateNew, 100*facts.FailureRateOld, facts.LatencyRatio)
	case age >= bounds.MaxAge:
		facts.Verdict, facts.Reason = HoldBack, "undecided by the end of the trial"
	default:
		facts.Reason = "the figures don't decide yet"
	}
	return facts
}

func failureRate(a Arm) float64 { return float64(a.Failed) / float64(a.Total()) }

// failureDiffInterval is the Agresti-Caffo interval for the difference of two failure rates, new
// minus old. It holds for the small counts of a trial's slice, where the plain normal approximation
// does not.
func failureDiffInterval(oldArm, newArm Arm, risk float64) (low, high float64) {
	estimate := func(a Arm) (p, v float64) {
		n := float64(a.Total()) + 2
		p = (float64(a.Failed) + 1) / n
		return p, p * (1 - p) / n
	}
	p1, v1 := estimate(oldArm)
	p2, v2 := estimate(newArm)
	halfWidth := normalQuantile(risk) * math.Sqrt(v1+v2)
	return p2 - p1 - halfWidth, p2 - p1 + halfWidth
}

// normalQuantile is the one-sided quantile of the standard normal distribution.
func normalQuantile(risk float64) float64 { return math.Sqrt2 * math.Erfinv(1-2*risk) }

// binUpperEdge is the upper edge of a histogram bin in ms. It must match the histogram that the
// ingresses fill.
func binUpperEdge(bin int) float64 { return math.Pow(2, float64(bin)/4) }

// quantile estimates a quantile from a histogram.
func quantile(bins []uint64, q float64) float64 { return edgeAtRank(bins, q) }

func edgeAtRank(bins []uint64, q float64) float64 {
	total := uint64(0)
	for _, n := range bins {
		total += n
	}
	target := q * float64(total)
	sum := 0.0
	for i, n := range bins {
		sum += float64(n)
		if n > 0 && sum >= target {
			return binUpperEdge(i)
		}
	}
	return 0
}

// quantileBounds returns the confidence bounds of a quantile, from the binomial variance of its
// rank.
func quantileBounds(bins []uint64, q, z float64) (low, high float64) {
	total := 0.0
	for _, n := range bins {
		total += float64(n)
	}
	if total == 0 {
		return 0, math.Inf(1)
	}
	halfWidth := z * math.Sqrt(q*(1-q)/total)
	if q+halfWidth >= 1 {
		return edgeAtRank(bins, max(q-halfWidth, 0)), edgeAtRank(bins, 1)
	}
	return edgeAtRank(bins, max(q-halfWidth, 0)), edgeAtRank(bins, q+halfWidth)
}
