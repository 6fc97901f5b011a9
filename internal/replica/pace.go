package replica

import (
	"sync"
	"time"
)

// A replica hands out as many bytes in refills within a beat as these parts of
// the bound on a frame: a control node stands on a machine of its own, a proxy's
// links carry jobs.
const (
	coreShare = 16
	sideShare = 64
)

// longest is after how many beats who is put off comes again at the latest.
const longest = 8

// tips is how many fellows that were filled here lately are named to who is put off.
const tips = 4

// pace bounds what one replica hands out in refills and to those who compare. One that came too soon is
// told when to come again, and who else was filled meanwhile: those fill others
// in turn, so that all of a crowd are filled in as many beats as it takes to
// double often enough, and no link is filled by it.
type pace struct {
	mu    sync.Mutex
	beat  time.Duration
	most  float64 // bytes within a beat
	left  float64 // of them; below zero what was handed out ahead
	at    time.Time
	off   int // refills put off since a beat began
	since time.Time
	given []given // the newest last
}

// given is a fellow that was filled here.
type given struct{ addr, area string }

func newPace(role string, frame int, beat time.Duration) *pace {
	p := &pace{beat: beat, most: float64(frame / sideShare)}
	if role == "registry" {
		p.most = float64(frame / coreShare)
	}
	p.left = p.most
	return p
}

// fresh lets what time has passed count; mu is held.
func (p *pace) fresh(now time.Time) {
	if !p.at.IsZero() {
		p.left = min(p.most, p.left+p.most*float64(now.Sub(p.at))/float64(p.beat))
	}
	p.at = now
	if now.Sub(p.since) > p.beat {
		p.since, p.off = now, 0
	}
}

// ask tells whether a refill of some bytes may go out now, and else after how
// long to come again. The last tells that there is no room for another.
func (p *pace) ask(size int, now time.Time) (ok bool, again time.Duration, many bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fresh(now)
	if p.left > 0 {
		p.left -= float64(size)
		return true, 0, p.left <= 0
	}
	// Behind those who were put off before it.
	due := time.Duration((float64(p.off*size) - p.left) / p.most * float64(p.beat))
	p.off++
	return false, min(max(due, p.beat), longest*p.beat), true
}

// room tells whether there is any now, spend takes bytes of it.
func (p *pace) room(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fresh(now)
	return p.left > 0
}

func (p *pace) spend(size int) {
	p.mu.Lock()
	p.left -= float64(size)
	p.mu.Unlock()
}

// gave notes who was filled.
func (p *pace) gave(addr, area string) {
	if addr == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.given = append(p.given, given{addr, area})
	if len(p.given) > 16*tips {
		p.given = append([]given(nil), p.given[8*tips:]...)
	}
}

// name gives fellows that were filled here lately, those of an area first.
func (p *pace) name(area, but string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for _, own := range []bool{true, false} {
		for i := len(p.given) - 1; i >= 0 && len(out) < tips; i-- {
			if g := p.given[i]; (g.area == area) == own && g.addr != but {
				out = append(out, g.addr)
			}
		}
	}
	return out
}
