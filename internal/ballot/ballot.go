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
func (n Number) Less(other Number) bool {
	if n.Round != other.Round {
		return n.Round < other.Round
	}
	return n.Candidate < other.Candidate
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
	steppedDown Number // whose holder gave the role up: what it still had under way is no sign of life
	lease       time.Duration
	save        func(Number) error
}

// NewVoter makes a voter from its stored promise. A voter that just started
// may have heard the holder right before, so it counts as heard now. What save
// refuses as fault.Stale is below a promise that was made durable elsewhere.
func NewVoter(promised Number, lease time.Duration, save func(Number) error) *Voter {
	voter := &Voter{writeLock: task.NewLock(), promised: promised, lease: lease, save: save}
	if promised.Round > 0 {
		voter.lastContact = time.Now()
	}
	return voter
}

// mayPromise tells whether a number may be promised, and what was promised so far. A
// role is voted on only when vacant: a node that was cut off must not unseat a
// holder whom this voter still hears.
func (v *Voter) mayPromise(number Number) (bool, Number) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if number.Candidate != v.promised.Candidate && !v.lastContact.IsZero() && time.Since(v.lastContact) < v.lease {
		return false, v.promised
	}
	return v.promised.Less(number), v.promised
}

// Vote votes on a number. It tells what was promised so far.
func (v *Voter) Vote(number Number) (bool, Number, error) {
	v.writeLock.Lock()
	defer v.writeLock.Unlock()
	if ok, promised := v.mayPromise(number); !ok {
		return false, promised, nil
	}
	// The one just voted for gets time to take up the role.
	return v.promise(number)
}

// promise makes a number durable; io is held. Another that rose meanwhile wins.
func (v *Voter) promise(number Number) (bool, Number, error) {
	err := v.save(number)
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case fault.Is(err, fault.Stale), err == nil && number.Less(v.promised):
		return false, v.promised, nil
	case err != nil:
		return false, v.promised, err
	}
	v.promised, v.lastContact = number, time.Now()
	return true, number, nil
}

// Heartbeat hears the holder; false means that a higher number was promised.
func (v *Voter) Heartbeat(number Number) (bool, Number, error) {
	if ok, promised := v.recordHeartbeat(number); ok || number.Less(promised) {
		return ok, promised, nil
	}
	// Following a higher number is a promise too.
	v.writeLock.Lock()
	defer v.writeLock.Unlock()
	if ok, promised := v.recordHeartbeat(number); ok || number.Less(promised) {
		return ok, promised, nil
	}
	return v.promise(number)
}

// recordHeartbeat notes a beat of the one who was promised the role.
func (v *Voter) recordHeartbeat(number Number) (bool, Number) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if number != v.promised {
		return false, v.promised
	}
	if number != v.steppedDown {
		v.lastContact = time.Now()
	}
	return true, number
}

// RaisePromise notes a promise that was made durable elsewhere, as by an accepted entry.
func (v *Voter) RaisePromise(number Number) {
	v.mu.Lock()
	if v.promised.Less(number) {
		v.promised = number
	}
	if number != v.steppedDown {
		v.lastContact = time.Now()
	}
	v.mu.Unlock()
}

// Vacate is the holder's own word that the role is free.
func (v *Voter) Vacate(number Number) {
	v.mu.Lock()
	if !number.Less(v.promised) {
		v.lastContact, v.steppedDown = time.Time{}, number
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
func Poll[T any](ctx context.Context, group *task.Group, voters []string, request func(context.Context, string) (T, error), handle func(string, T, error) bool) {
	type response struct {
		voter string
		value T
		err   error
	}
	responses := make(chan response, len(voters))
	for _, voter := range voters {
		if !group.Go("poll", func(context.Context) {
			value, err := request(ctx, voter)
			responses <- response{voter, value, err}
		}) {
			var zero T
			responses <- response{voter, zero, context.Canceled}
		}
	}
	for range voters {
		select {
		case answer := <-responses:
			if handle(answer.voter, answer.value, answer.err) {
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
	v.promised, v.lastContact, v.steppedDown = Number{}, time.Time{}, Number{}
	v.mu.Unlock()
}
