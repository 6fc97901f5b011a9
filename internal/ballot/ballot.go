// Package ballot is the round of ballots by which a duty is won when it falls
// vacant. Voters promise durably; the winner's number fences what it writes.
package ballot

import (
	"context"
	"fmt"
	"time"

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
// the holder.
type Voter struct {
	mu    task.Lock // held over the write of a promise
	vow   Number
	heard time.Time
	lease time.Duration
	keep  func(Number) error
}

// NewVoter makes a voter from its stored promise. A voter that just started
// may have heard the holder right before, so it counts as heard now.
func NewVoter(vow Number, lease time.Duration, keep func(Number) error) *Voter {
	v := &Voter{mu: task.NewLock(), vow: vow, lease: lease, keep: keep}
	if vow.Round > 0 {
		v.heard = time.Now()
	}
	return v
}

// Ask votes on a number. It tells what was promised so far.
func (v *Voter) Ask(n Number) (bool, Number, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	// A duty is voted on only when vacant: a node that was cut off must not
	// unseat a holder whom this voter still hears.
	if n.Who != v.vow.Who && !v.heard.IsZero() && time.Since(v.heard) < v.lease {
		return false, v.vow, nil
	}
	if !v.vow.Less(n) {
		return false, v.vow, nil
	}
	if err := v.keep(n); err != nil {
		return false, v.vow, err
	}
	v.vow = n
	// The one just voted for gets time to take up the duty.
	v.heard = time.Now()
	return true, n, nil
}

// Beat hears the holder; false means that a higher number was promised.
func (v *Voter) Beat(n Number) (bool, Number, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if n.Less(v.vow) {
		return false, v.vow, nil
	}
	if v.vow.Less(n) {
		// Following a higher number is a promise too.
		if err := v.keep(n); err != nil {
			return false, v.vow, err
		}
		v.vow = n
	}
	v.heard = time.Now()
	return true, n, nil
}

// Rise notes a promise that was made durable elsewhere, as by an accepted entry.
func (v *Voter) Rise(n Number) {
	v.mu.Lock()
	if v.vow.Less(n) {
		v.vow = n
	}
	v.heard = time.Now()
	v.mu.Unlock()
}

// Vacate is the holder's own word that the duty is free.
func (v *Voter) Vacate(n Number) {
	v.mu.Lock()
	if !n.Less(v.vow) {
		v.heard = time.Time{}
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
	v.vow, v.heard = Number{}, time.Time{}
	v.mu.Unlock()
}
