package replica

import (
	"sync"
	"time"
)

// The number of bytes that a replica sends in refills per heartbeat is the maximum frame
// size divided by one of these. Control-plane nodes send more, because they run on
// machines of their own; the links of a proxy also carry requests.
const (
	registryShare = 16
	proxyShare    = 64
)

// maxRetryHeartbeats limits, in heartbeats, the retry delay given to a deferred node.
const maxRetryHeartbeats = 8

// maxAlternatives is the maximum number of recently refilled nodes that a deferred node
// is referred to.
const maxAlternatives = 4

// transferBudget limits the bytes that one replica sends in refills and repairs. A node
// that asks while the budget is exhausted is told when to retry and which nodes were
// refilled meanwhile. Those serve refills in turn, so the number of refilled nodes can
// double each heartbeat, and many starting nodes do not saturate any link.
type transferBudget struct {
	mu            sync.Mutex
	heartbeat     time.Duration
	limit         float64 // bytes per heartbeat
	available     float64 // bytes left; negative if the last transfer exceeded them
	updatedAt     time.Time
	deferred      int // refills deferred since deferredSince
	deferredSince time.Time
	recipients    []recipient // most recent last
}

// recipient is a node that was refilled by this replica.
type recipient struct{ addr, zone string }

func newTransferBudget(role string, maxFrameBytes int, heartbeat time.Duration) *transferBudget {
	budget := &transferBudget{heartbeat: heartbeat, limit: float64(maxFrameBytes / proxyShare)}
	if role == "registry" {
		budget.limit = float64(maxFrameBytes / registryShare)
	}
	budget.available = budget.limit
	return budget
}

// replenish adds the budget for the time since the last update, up to the limit, and
// resets the count of deferred refills after each heartbeat. The caller holds mu.
func (b *transferBudget) replenish(now time.Time) {
	if !b.updatedAt.IsZero() {
		b.available = min(b.limit, b.available+b.limit*float64(now.Sub(b.updatedAt))/float64(b.heartbeat))
	}
	b.updatedAt = now
	if now.Sub(b.deferredSince) > b.heartbeat {
		b.deferredSince, b.deferred = now, 0
	}
}

// reserve takes the bytes of one refill from the budget if any of it is left. Otherwise
// it returns the time after which to retry. limited reports that no further refill can be
// served now.
func (b *transferBudget) reserve(size int, now time.Time) (ok bool, retryAfter time.Duration, limited bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.replenish(now)
	if b.available > 0 {
		b.available -= float64(size)
		return true, 0, b.available <= 0
	}
	// Queue this node behind those that were deferred before it.
	wait := time.Duration((float64(b.deferred*size) - b.available) / b.limit * float64(b.heartbeat))
	b.deferred++
	return false, min(max(wait, b.heartbeat), maxRetryHeartbeats*b.heartbeat), true
}

// hasCapacity reports whether any of the budget is left.
func (b *transferBudget) hasCapacity(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.replenish(now)
	return b.available > 0
}

// spend subtracts bytes that were sent.
func (b *transferBudget) spend(size int) {
	b.mu.Lock()
	b.available -= float64(size)
	b.mu.Unlock()
}

// recordRecipient records a refilled node. At most 16*maxAlternatives are kept.
func (b *transferBudget) recordRecipient(addr, zone string) {
	if addr == "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recipients = append(b.recipients, recipient{addr, zone})
	if len(b.recipients) > 16*maxAlternatives {
		b.recipients = append([]recipient(nil), b.recipients[8*maxAlternatives:]...)
	}
}

// recentRecipients returns up to maxAlternatives addresses of recently refilled nodes,
// those of the given zone first.
func (b *transferBudget) recentRecipients(zone, except string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for _, sameZone := range []bool{true, false} {
		for i := len(b.recipients) - 1; i >= 0 && len(out) < maxAlternatives; i-- {
			if candidate := b.recipients[i]; (candidate.zone == zone) == sameZone && candidate.addr != except {
				out = append(out, candidate.addr)
			}
		}
	}
	return out
}
