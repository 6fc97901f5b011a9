// Package judge compares the two arms of a trial: failure rates by a
// two-proportion interval, latency by a ratio of quantiles.
package judge

import (
	"fmt"
	"math"
	"time"

	"puffincrank/internal/protocol"
)

// Bounds are the configuration's bounds on a trial.
type Bounds struct {
	MinRequests        uint64        // jobs of the new arm before a look
	MinAge             time.Duration // time before a look
	MaxAge             time.Duration // time after which it is held back
	Risk               float64       // chance of a wrong word, over all looks
	MaxFailureIncrease float64       // failure rate above the old arm's that is put up with
	MaxLatencyRatio    float64       // ratio of latency that is put up with
	Quantile           float64
}

// looks is over how many looks the risk is split: each look at growing counts
// is a chance to err.
const looks = 8

// Arm is one arm's counts over all fronts.
type Arm struct {
	Done        uint64   `json:"done"`
	Failed      uint64   `json:"failed"` // failed, unknown and refused together
	LatencyBins []uint64 `json:"-"`
}

// Add takes a front's tally in. A refusal is a failure here: a change that
// sends jobs where nobody takes them must not pass.
func (a *Arm) Add(t protocol.ArmCounts) {
	a.Done += t.Done
	a.Failed += t.Failed + t.Unknown + t.Refused
	for len(a.LatencyBins) < len(t.LatencyBins) {
		a.LatencyBins = append(a.LatencyBins, 0)
	}
	for i, n := range t.LatencyBins {
		a.LatencyBins[i] += n
	}
}

// Total is how many the arm had.
func (a *Arm) Total() uint64 { return a.Done + a.Failed }

// The words of a judgement.
const (
	Wait     = "wait"
	Promote  = "good"
	HoldBack = "bad"
)

// Facts are the figures that decided.
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
	Ratio          float64 `json:"latency_ratio"`
	AgeMS          int64   `json:"age_ms"`
}

// Evaluate judges one path of a trial.
func Evaluate(path string, old, now Arm, age time.Duration, b Bounds) Facts {
	f := Facts{Route: path, Verdict: Wait, Old: old, New: now, AgeMS: age.Milliseconds()}
	if old.Total() > 0 && now.Total() > 0 {
		f.FailureRateOld, f.FailureRateNew = rate(old), rate(now)
		f.DiffLow, f.DiffHigh = interval(old, now, b.Risk/looks)
		f.LatencyOld, f.LatencyNew = quantile(old.LatencyBins, b.Quantile), quantile(now.LatencyBins, b.Quantile)
		if f.LatencyOld > 0 {
			f.Ratio = f.LatencyNew / f.LatencyOld
		}
	}
	if age < b.MinAge || now.Total() < b.MinRequests || old.Total() < b.MinRequests {
		f.Reason = fmt.Sprintf("%d and %d jobs in %v are too few yet", old.Total(), now.Total(), age.Round(time.Second))
		if age >= b.MaxAge {
			f.Verdict, f.Reason = HoldBack, fmt.Sprintf("too little traffic: %d and %d jobs in %v", old.Total(), now.Total(), age.Round(time.Second))
		}
		return f
	}
	z := normal(b.Risk / looks)
	lowNew, highNew := bounds(now.LatencyBins, b.Quantile, z)
	lowOld, highOld := bounds(old.LatencyBins, b.Quantile, z)
	switch {
	case f.DiffLow > 0 && f.FailureRateNew-f.FailureRateOld > b.MaxFailureIncrease:
		f.Verdict, f.Reason = HoldBack, fmt.Sprintf("fails more: %.2f %% against %.2f %%", 100*f.FailureRateNew, 100*f.FailureRateOld)
	case now.Done > 0 && lowNew > b.MaxLatencyRatio*highOld:
		f.Verdict, f.Reason = HoldBack, fmt.Sprintf("slower: quantile %.0f ms against %.0f ms", f.LatencyNew, f.LatencyOld)
	case f.DiffHigh < b.MaxFailureIncrease && now.Done > 0 && highNew <= b.MaxLatencyRatio*max(lowOld, 1):
		f.Verdict, f.Reason = Promote, fmt.Sprintf("failure rate %.2f %% against %.2f %%, latency ratio %.2f", 100*f.FailureRateNew, 100*f.FailureRateOld, f.Ratio)
	case age >= b.MaxAge:
		f.Verdict, f.Reason = HoldBack, "undecided by the end of the trial"
	default:
		f.Reason = "the figures don't decide yet"
	}
	return f
}

func rate(a Arm) float64 { return float64(a.Failed) / float64(a.Total()) }

// interval is the Agresti-Caffo interval for the difference of two failure
// rates, new less old: it holds for the small counts of a slice, where the
// plain normal test does not.
func interval(old, now Arm, risk float64) (low, high float64) {
	part := func(a Arm) (p, v float64) {
		n := float64(a.Total()) + 2
		p = (float64(a.Failed) + 1) / n
		return p, p * (1 - p) / n
	}
	p1, v1 := part(old)
	p2, v2 := part(now)
	half := normal(risk) * math.Sqrt(v1+v2)
	return p2 - p1 - half, p2 - p1 + half
}

// normal is the one-sided quantile of the normal distribution.
func normal(risk float64) float64 { return math.Sqrt2 * math.Erfinv(1-2*risk) }

// upto is the upper edge of a bin in ms; it mirrors the fronts' histogram.
func upto(bin int) float64 { return math.Pow(2, float64(bin)/4) }

// quantile reads a quantile from a histogram.
func quantile(bins []uint64, q float64) float64 { return rank(bins, q) }

func rank(bins []uint64, q float64) float64 {
	total := uint64(0)
	for _, n := range bins {
		total += n
	}
	want := q * float64(total)
	sum := 0.0
	for i, n := range bins {
		sum += float64(n)
		if n > 0 && sum >= want {
			return upto(i)
		}
	}
	return 0
}

// bounds are the confidence bounds of a quantile, by the binomial spread of
// its rank.
func bounds(bins []uint64, q, z float64) (low, high float64) {
	total := 0.0
	for _, n := range bins {
		total += float64(n)
	}
	if total == 0 {
		return 0, math.Inf(1)
	}
	half := z * math.Sqrt(q*(1-q)/total)
	if q+half >= 1 {
		return rank(bins, max(q-half, 0)), rank(bins, 1)
	}
	return rank(bins, max(q-half, 0)), rank(bins, q+half)
}
