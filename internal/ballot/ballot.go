// Package ballot is the round of ballots by which a role is won when it falls
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

// Number orders ballots: by round, then by candidate.
type Number struct {
	Round     uint64 `msgpack:"r" json:"round"`
	Candidate string `msgpack:"w" json:"who"`
}

// Less orders two numbers.
func (n Number) Less(o Number) bool {
	if n.Round != o.Round {
		return n.Round < o.Round
	}
	return n.Candidate < o.Candidate
}

// String prints a number.
func (n Number) String() string { return fmt.Sprintf("%d/%s", n.Round, n.Candidate) }

// Voter is one voter's durable promise for one role, and when it last heard
// the holder. Only a new promise waits for the disk: a beat of the holder, and
// whoever asks what was promised, never does.
type Voter struct {
	writeLock   task.Lock  // held over the write of a promise; taken before mu
	mu          sync.Mutex // the fields below, never held over a write
	promised    Number
	lastContact time.Time
	resigned    Number // whose holder gave the role up: what it still had under way is no sign of life
	lease       time.Duration
	save        func(Number) error
}

// NewVoter makes a voter from its stored promise. A voter that just started
// may have heard the holder right before, so it counts as heard now. What save
// refuses as fault.Stale is below a promise that was made durable elsewhere.
func NewVoter(promised Number, lease time.Duration, save func(Number) error) *Voter {
	v := &Voter{writeLock: task.NewLock(), promised: promised, lease: lease, save: save}
	if promised.Round > 0 {
		v.lastContact = time.Now()
	}
	return v
}

// mayPromise tells whether a number may be promised, and what was promised so far. A
// role is voted on only when vacant: a node that was cut off must not unseat a
// holder whom this voter still hears.
func (v *Voter) mayPromise(n Number) (bool, Number) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if n.Candidate != v.promised.Candidate && !v.lastContact.IsZero() && time.Since(v.lastContact) < v.lease {
		return false, v.promised
	}
	return v.promised.Less(n), v.promised
}

// Vote votes on a number. It tells what was promised so far.
func (v *Voter) Vote(n Number) (bool, Number, error) {
	v.writeLock.Lock()
	defer v.writeLock.Unlock()
	if ok, promised := v.mayPromise(n); !ok {
		return false, promised, nil
	}
	// The one just voted for gets time to take up the role.
	return v.promise(n)
}

// promise makes a number durable; io is held. Another that rose meanwhile wins.
func (v *Voter) promise(n Number) (bool, Number, error) {
	err := v.save(n)
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case fault.Is(err, fault.Stale), err == nil && n.Less(v.promised):
		return false, v.promised, nil
	case err != nil:
		return false, v.promised, err
	}
	v.promised, v.lastContact = n, time.Now()
	return true, n, nil
}

// Heartbeat hears the holder; false means that a higher number was promised.
func (v *Voter) Heartbeat(n Number) (bool, Number, error) {
	if ok, promised := v.recordHeartbeat(n); ok || n.Less(promised) {
		return ok, promised, nil
	}
	// Following a higher number is a promise too.
	v.writeLock.Lock()
	defer v.writeLock.Unlock()
	if ok, promised := v.recordHeartbeat(n); ok || n.Less(promised) {
		return ok, promised, nil
	}
	return v.promise(n)
}

// recordHeartbeat notes a beat of the one who was promised the role.
func (v *Voter) recordHeartbeat(n Number) (bool, Number) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if n != v.promised {
		return false, v.promised
	}
	if n != v.resigned {
		v.lastContact = time.Now()
	}
	return true, n
}

// RaisePromise notes a promise that was made durable elsewhere, as by an accepted entry.
func (v *Voter) RaisePromise(n Number) {
	v.mu.Lock()
	if v.promised.Less(n) {
		v.promised = n
	}
	if n != v.resigned {
		v.lastContact = time.Now()
	}
	v.mu.Unlock()
}

// Vacate is the holder's own word that the role is free.
func (v *Voter) Vacate(n Number) {
	v.mu.Lock()
	if !n.Less(v.promised) {
		v.lastContact, v.resigned = time.Time{}, n
	}
	v.mu.Unlock()
}

// Promised gives the highest promise and how long ago the holder was heard.
func (v *Voter) Promised() (Number, time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.lastContact.IsZero() {
		return v.promised, time.Hour
	}
	return v.promised, time.Since(v.lastContact)
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
	v.promised, v.lastContact, v.resigned = Number{}, time.Time{}, Number{}
	v.mu.Unlock()
}
