package settings

import (
	"time"

	"puffincrank/internal/schema"
)

// The derived times. Each is a fraction of a bound; checkDerived checks that they add up to no more
// than their bound.

// BaseInterval is the time of which heartbeats, leases and sessions are fractions: the bound on a
// configuration change, or less where another bound needs them sooner. A deployment sets its bounds
// independently of each other. It must not be refused for bounds that do not fit together, since a
// node that does not start breaks all of them.
func (p Settings) BaseInterval() time.Duration {
	interval := p.ConfigBound
	// The loss of a leader is detected and another one elected, by the third candidate at the
	// latest, within two thirds of ContactTime. A vacant role is noticed, voted on and taken over
	// within RecoveryBound. A replacement, which may have to wait for a new leader, ends within
	// CatchUpBound. A bound that is not set yet limits nothing.
	for _, limit := range []time.Duration{p.ContactTime * 4 / 3, p.RecoveryBound * 2 / 5, p.CatchUpBound * 5 / 8} {
		if limit > 0 {
			interval = min(interval, limit)
		}
	}
	return interval
}

// HeartbeatInterval is the interval at which sessions, leaders and roles are renewed.
func (p Settings) HeartbeatInterval() time.Duration { return p.BaseInterval() / 10 }

// GoodbyeTimeout is how long one goodbye message may take at the end of a graceful shutdown: a
// heartbeat interval, but at most a thirtieth of the grace period, so that two of them leave most
// of it.
func (p Settings) GoodbyeTimeout() time.Duration {
	return min(p.HeartbeatInterval(), p.GracePeriod/30)
}

// MaxIdleLinks is the number of idle links to peers that are kept, 0 for no limit. It is an eighth
// of the file descriptors: peers keep as many to this node, callers have three quarters, and files
// and workers need some.
func (p Settings) MaxIdleLinks() int { return p.FileLimit / 8 }

// Lease is how long a role is held without a heartbeat.
func (p Settings) Lease() time.Duration { return p.BaseInterval() / 2 }

// LeaderTimeout is how long a leader may be silent before its role counts as vacant: three
// heartbeats, so that one delayed by a slow disk or a busy processor does not cost it the role.
func (p Settings) LeaderTimeout() time.Duration { return p.BaseInterval() * 3 / 10 }

// CallTimeout is the time limit of one call between processes of the mesh.
func (p Settings) CallTimeout() time.Duration { return p.BaseInterval() / 4 }

// ConfirmationTTL is how old the confirmation of a configuration may be before a node asks for a
// new one. It is longer than the sum of a heartbeat interval, a call without an answer and the
// round that finds the whole control plane lost, counted from a response that is one heartbeat old.
// The rest of the bound on a change is left for the delivery of the request.
func (p Settings) ConfirmationTTL() time.Duration { return p.BaseInterval() * 8 / 10 }

// PauseThreshold is the gap between ticks that counts as a pause of the process.
func (p Settings) PauseThreshold() time.Duration { return p.BaseInterval() / 4 }

// SessionTTL is how long a session lasts without a heartbeat.
func (p Settings) SessionTTL() time.Duration { return p.BaseInterval() }

// MaxAbsence is how long a node may be disconnected before its replica must be refilled instead of
// merged.
func (p Settings) MaxAbsence() time.Duration { return p.RetireAfter * 2 }

// TombstoneTTL is how long tombstones are kept: longer than any absence after which a replica may
// still be merged.
func (p Settings) TombstoneTTL() time.Duration { return p.MaxAbsence() * 3 }

// RepairInterval is the interval at which a replica compares digests with a peer.
func (p Settings) RepairInterval() time.Duration { return p.RecoveryBound / 5 }

// WorkerHeartbeat is the interval at which a worker should send heartbeats, or does so by its own
// configuration.
func (p Settings) WorkerHeartbeat() time.Duration {
	if p.ConfiguredHeartbeat > 0 {
		return p.ConfiguredHeartbeat
	}
	return min(p.LeaveBound, p.RecoveryBound) / 8
}

// WorkerTimeout is how long a worker may be silent before it counts as down. A worker with an
// interval of its own may be late by half an interval and miss one heartbeat. Where RecoveryBound
// is too short for that and another interval, it may only be late.
func (p Settings) WorkerTimeout() time.Duration {
	if p.ConfiguredHeartbeat > 0 {
		late := p.ConfiguredHeartbeat*3/2 + p.CallTimeout()/2
		return max(late, min(late+p.ConfiguredHeartbeat, p.RecoveryBound-p.ConfiguredHeartbeat))
	}
	return min(p.LeaveBound, p.RecoveryBound) * 5 / 8
}

// MaxCallAge is how old an application's call may be when it is proposed. Its sender turns to
// another node after ClientTimeout. What it does there must come after this call in the log, or
// this call must never be carried out. The rest of ClientTimeout is for the way to this node and
// for a pause that is too short to be detected.
func (p Settings) MaxCallAge() time.Duration { return p.ClientTimeout * 5 / 8 }

// UnnoticedPause is the longest pause between two ticks, besides the tick itself, that goes
// undetected where calls are read.
func (p Settings) UnnoticedPause() time.Duration { return p.ClientTimeout / 16 }

// MaxSyncTime is the sync time above which a leader steps down.
func (p Settings) MaxSyncTime() time.Duration { return p.BaseInterval() / 8 }

// The bound on the replicated state when neither memory nor disk size is configured, and the
// divisor that gives its share of either when they are. A process that installs a snapshot holds it
// compressed, decompressed and compressed again for the disk. A disk holds the old snapshot, the
// new one and the space reserved for the next.
const (
	defaultStateBytes = 64 << 20
	stateDivisor      = 8
)

// StateBytes is the bound on the replicated state, in bytes.
func (p Settings) StateBytes() int {
	if p.ConfiguredStateBytes > 0 {
		return p.ConfiguredStateBytes
	}
	bound := 0
	for _, available := range []int{p.MemoryBytes, p.DiskBytes} {
		if available > 0 && (bound == 0 || available/stateDivisor < bound) {
			bound = available / stateDivisor
		}
	}
	if bound == 0 {
		return defaultStateBytes
	}
	return bound
}

// derive computes the bounds that were not given from the others.
func (p *Settings) derive() {
	if p.ContactTime == 0 {
		p.ContactTime = max(3*time.Second, p.ConfigBound*3/2)
	}
	if p.CatchUpBound == 0 {
		// Without catch_up_ms a replacement gets the time that was configured for it, or the
		// defaults.
		if p.ReplaceAfter == 0 {
			p.ReplaceAfter = 8 * time.Second
		}
		if p.RetireAfter == 0 {
			p.RetireAfter = 10 * time.Second
		}
		p.CatchUpBound = p.ReplaceAfter * 3
	}
	if p.ReplaceAfter == 0 {
		// A silent store is more than late only after a lease and a heartbeat interval.
		p.ReplaceAfter = max(p.CatchUpBound/3, p.Lease()+p.HeartbeatInterval())
	}
	if p.RetireAfter == 0 {
		p.RetireAfter = max(p.CatchUpBound*5/12, p.SessionTTL()*2)
	}
}

func (p Settings) checkDerived() []schema.Problem {
	var problems []schema.Problem
	report := func(place, message string) {
		problems = append(problems, schema.Problem{Place: place, Message: message})
	}
	if p.WorkerTimeout() > p.RecoveryBound {
		report("beat_ms", "a beat that is late is missed after more than return_ms")
	}
	if p.RetireAfter < p.SessionTTL()*2 {
		report("retire_ms", "must be at least twice the time for which a session stands")
	}
	if p.ReplaceAfter < p.Lease()+p.HeartbeatInterval() {
		report("replace_ms", "must be at least a lease and a beat")
	}
	// A store is disconnected for ReplaceAfter and then replaced by one log entry, which may have
	// to wait for a new leader.
	if p.ReplaceAfter+p.Lease()+p.CallTimeout()*2 > p.CatchUpBound {
		report("catch_up_ms", "replace_ms, a lease and two calls add up to more than the bound")
	}
	return problems
}
