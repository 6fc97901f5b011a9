// Package ballot is the round of ballots by which a duty is won when it falls
// vacant. Voters promise durably; the winner's number fences what it writes.
package ballot

import (
	"context"
	"fmt"
	"sync"
	"time"

	"puffincrank/internal/fault"
	"puffincrank/internal/task"
)

// Number orders ballots: by round, then by who stands.
type Number struct {
	Round uint64 `msgpack:"r" json:"round"`
	Who   string `msgpack:"w" json:"who"`
}

// Less orders two numbers.
func (n Number) Less(o Number) bool {
	if n.Round != o.Round {
		return n.Round < o.Round
	}
	return n.Who < o.Who
}

// String prints a number.
func (n Number) String() string { return fmt.Sprintf("%d/%s", n.Round, n.Who) }

// Voter is one voter's durable promise for one duty, and when it last heard
// the holder. Only a new promise waits for the disk: a beat of the holder, and
// whoever asks what was promised, never does.
type Voter struct {
	io    task.Lock  // held over the write of a promise; taken before mu
	mu    sync.Mutex // the fields below, never held over a write
	vow   Number
	heard time.Time
	left  Number // whose holder gave the duty up: what it still had under way is no sign of life
	lease time.Duration
	keep  func(Number) error
}

// NewVoter makes a voter from its stored promise. A voter that just started
// may have heard the holder right before, so it counts as heard now. What keep
// refuses as fault.Stale is below a promise that was made durable elsewhere.
func NewVoter(vow Number, lease time.Duration, keep func(Number) error) *Voter {
	v := &Voter{io: task.NewLock(), vow: vow, lease: lease, keep: keep}
	if vow.Round > 0 {
		v.heard = time.Now()
	}
	return v
}

// may tells whether a number may be promised, and what was promised so far. A
// duty is voted on only when vacant: a node that was cut off must not unseat a
// holder whom this voter still hears.
func (v *Voter) may(n Number) (bool, Number) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if n.Who != v.vow.Who && !v.heard.IsZero() && time.Since(v.heard) < v.lease {
		return false, v.vow
	}
	return v.vow.Less(n), v.vow
}

// Ask votes on a number. It tells what was promised so far.
func (v *Voter) Ask(n Number) (bool, Number, error) {
	v.io.Lock()
	defer v.io.Unlock()
	if ok, vow := v.may(n); !ok {
		return false, vow, nil
	}
	// The one just voted for gets time to take up the duty.
	return v.promise(n)
}

// promise makes a number durable; io is held. Another that rose meanwhile wins.
func (v *Voter) promise(n Number) (bool, Number, error) {
	err := v.keep(n)
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case fault.Is(err, fault.Stale), err == nil && n.Less(v.vow):
		return false, v.vow, nil
	case err != nil:
		return false, v.vow, err
	}
	v.vow, v.heard = n, time.Now()
	return true, n, nil
}

// Beat hears the holder; false means that a higher number was promised.
func (v *Voter) Beat(n Number) (bool, Number, error) {
	if ok, vow := v.hear(n); ok || n.Less(vow) {
		return ok, vow, nil
	}
	// Following a higher number is a promise too.
	v.io.Lock()
	defer v.io.Unlock()
	if ok, vow := v.hear(n); ok || n.Less(vow) {
		return ok, vow, nil
	}
	return v.promise(n)
}

// hear notes a beat of the one who was promised the duty.
func (v *Voter) hear(n Number) (bool, Number) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if n != v.vow {
		return false, v.vow
	}
	if n != v.left {
		v.heard = time.Now()
	}
	return true, n
}

// Rise notes a promise that was made durable elsewhere, as by an accepted entry.
func (v *Voter) Rise(n Number) {
	v.mu.Lock()
	if v.vow.Less(n) {
		v.vow = n
	}
	if n != v.left {
		v.heard = time.Now()
	}
	v.mu.Unlock()
}

// Vacate is the holder's own word that the duty is free.
func (v *Voter) Vacate(n Number) {
	v.mu.Lock()
	if !n.Less(v.vow) {
		v.heard, v.left = time.Time{}, n
	}
	v.mu.Unlock()
}

// Vow gives the highest promise and how long ago the holder was heard.
func (v *Voter) Vow() (Number, time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.heard.IsZero() {
		return v.vow, time.Hour
	}
	return v.vow, time.Since(v.heard)
}

// Poll asks all voters at once and hands each answer to take, in one
// goroutine, until take says that it has enough or all have answered.
func Poll[T any](ctx context.Context, g *task.Group, voters []string, ask func(context.Context, string) (T, error), take func(string, T, error) bool) {
	type back struct {
		who string
		val T
		err error
	}
	c := make(chan back, len(voters))
	for _, who := range voters {
		if !g.Go("poll", func(context.Context) {
			val, err := ask(ctx, who)
			c <- back{who, val, err}
		}) {
			var none T
			c <- back{who, none, context.Canceled}
		}
	}
	for range voters {
		select {
		case b := <-c:
			if take(b.who, b.val, b.err) {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// Reset forgets everything: the voter is a new one under a new identity.
func (v *Voter) Reset() {
	v.mu.Lock()
	v.vow, v.heard, v.left = Number{}, time.Time{}, Number{}
	v.mu.Unlock()
}
