package replica

import (
	"sync"
	"time"
)

// A replica hands out as many bytes in refills within a beat as these parts of
// the bound on a frame: a control node stands on a machine of its own, a proxy's
// links carry jobs.
const (
	registryShare = 16
	proxyShare    = 64
)

// maxRetryHeartbeats is after how many beats who is put off comes again at the latest.
const maxRetryHeartbeats = 8

// maxAlternatives is how many fellows that were filled here lately are named to who is put off.
const maxAlternatives = 4

// transferBudget bounds what one replica hands out in refills and to those who compare. One that came too soon is
// told when to come again, and who else was filled meanwhile: those fill others
// in turn, so that all of a crowd are filled in as many beats as it takes to
// double often enough, and no link is filled by it.
type transferBudget struct {
	mu            sync.Mutex
	heartbeat     time.Duration
	limit         float64 // bytes within a beat
	available     float64 // of them; below zero what was handed out ahead
	updatedAt     time.Time
	deferred      int // refills put off since a beat began
	deferredSince time.Time
	recipients    []recipient // the newest last
}

// recipient is a fellow that was filled here.
type recipient struct{ addr, zone string }

func newTransferBudget(role string, maxFrameBytes int, heartbeat time.Duration) *transferBudget {
	budget := &transferBudget{heartbeat: heartbeat, limit: float64(maxFrameBytes / proxyShare)}
	if role == "registry" {
		budget.limit = float64(maxFrameBytes / registryShare)
	}
	budget.available = budget.limit
	return budget
}

// replenish lets what time has passed count; mu is held.
func (p *transferBudget) replenish(now time.Time) {
	if !p.updatedAt.IsZero() {
		p.available = min(p.limit, p.available+p.limit*float64(now.Sub(p.updatedAt))/float64(p.heartbeat))
	}
	p.updatedAt = now
	if now.Sub(p.deferredSince) > p.heartbeat {
		p.deferredSince, p.deferred = now, 0
	}
}

// reserve tells whether a refill of some bytes may go out now, and else after how
// long to come again. The last tells that there is no room for another.
func (p *transferBudget) reserve(size int, now time.Time) (ok bool, retryAfter time.Duration, limited bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replenish(now)
	if p.available > 0 {
		p.available -= float64(size)
		return true, 0, p.available <= 0
	}
	// Behind those who were put off before it.
	wait := time.Duration((float64(p.deferred*size) - p.available) / p.limit * float64(p.heartbeat))
	p.deferred++
	return false, min(max(wait, p.heartbeat), maxRetryHeartbeats*p.heartbeat), true
}

// hasCapacity tells whether there is any now, spend takes bytes of it.
func (p *transferBudget) hasCapacity(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replenish(now)
	return p.available > 0
}

func (p *transferBudget) spend(size int) {
	p.mu.Lock()
	p.available -= float64(size)
	p.mu.Unlock()
}

// recordRecipient notes who was filled.
func (p *transferBudget) recordRecipient(addr, zone string) {
	if addr == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recipients = append(p.recipients, recipient{addr, zone})
	if len(p.recipients) > 16*maxAlternatives {
		p.recipients = append([]recipient(nil), p.recipients[8*maxAlternatives:]...)
	}
}

// recentRecipients gives fellows that were filled here lately, those of an area first.
func (p *transferBudget) recentRecipients(zone, except string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for _, sameZone := range []bool{true, false} {
		for i := len(p.recipients) - 1; i >= 0 && len(out) < maxAlternatives; i-- {
			if candidate := p.recipients[i]; (candidate.zone == zone) == sameZone && candidate.addr != except {
				out = append(out, candidate.addr)
			}
		}
	}
	return out
}
