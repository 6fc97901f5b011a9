// Package ballot elects the holder of a vacant role, with the promise phase of Paxos.
// Voters promise durably; the winner's ballot number then serves as the fencing token
// of its writes.
package ballot

import (
	"context"
	"fmt"
	"sync"
	"time"

	"puffincrank/internal/fault"
	"puffincrank/internal/task"
)

// Number is a ballot number. It is ordered by round, then by candidate.
type Number struct {
	Round     uint64 `msgpack:"r" json:"round"`
	Candidate string `msgpack:"w" json:"who"`
}

// Less reports whether n is ordered before other.
func (n Number) Less(other Number) bool {
	if n.Round != other.Round {
		return n.Round < other.Round
	}
	return n.Candidate < other.Candidate
}

// String formats n as round/candidate.
func (n Number) String() string { return fmt.Sprintf("%d/%s", n.Round, n.Candidate) }

// Voter holds one voter's durable promise for one role, and the time of its last
// contact with the holder. Only a new promise waits for the disk; heartbeats of the
// holder and queries for the current promise never do.
type Voter struct {
	writeLock   task.Lock  // held while a promise is written; taken before mu
	mu          sync.Mutex // guards the fields below; never held during a write
	promised    Number
	lastContact time.Time
	steppedDown Number // the ballot whose holder stepped down: its messages still in flight don't count as contact
	lease       time.Duration
	save        func(Number) error
}

// NewVoter returns a voter with its stored promise. A voter that restarts may have
// had contact with the holder just before, so it counts as in contact now. save makes
// a promise durable; it returns fault.Stale if a higher promise was made durable by
// other means, see RaisePromise.
func NewVoter(promised Number, lease time.Duration, save func(Number) error) *Voter {
	voter := &Voter{writeLock: task.NewLock(), promised: promised, lease: lease, save: save}
	if promised.Round > 0 {
		voter.lastContact = time.Now()
	}
	return voter
}

// mayPromise reports whether a number may be promised, and returns the current
// promise. It refuses other candidates while the holder's lease runs: a node that was
// partitioned must not displace a holder that this voter is still in contact with.
func (v *Voter) mayPromise(number Number) (bool, Number) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if number.Candidate != v.promised.Candidate && !v.lastContact.IsZero() && time.Since(v.lastContact) < v.lease {
		return false, v.promised
	}
	return v.promised.Less(number), v.promised
}

// Vote promises a number if allowed. It reports whether it did, and returns the
// highest promise.
func (v *Voter) Vote(number Number) (bool, Number, error) {
	v.writeLock.Lock()
	defer v.writeLock.Unlock()
	if ok, promised := v.mayPromise(number); !ok {
		return false, promised, nil
	}
	// A promise also counts as contact, which gives the candidate time to take up the
	// role.
	return v.promise(number)
}

// promise makes a number durable; writeLock is held. It fails if a higher number was
// promised meanwhile.
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

// Heartbeat records a heartbeat of the holder. It returns false and the highest promise
// if a higher number was promised.
func (v *Voter) Heartbeat(number Number) (bool, Number, error) {
	if ok, promised := v.recordHeartbeat(number); ok || number.Less(promised) {
		return ok, promised, nil
	}
	// A heartbeat with a higher number is accepted like a vote for it, and needs a
	// durable promise.
	v.writeLock.Lock()
	defer v.writeLock.Unlock()
	if ok, promised := v.recordHeartbeat(number); ok || number.Less(promised) {
		return ok, promised, nil
	}
	return v.promise(number)
}

// recordHeartbeat records contact if the number is the promised one, and reports
// whether it is. After a step-down the heartbeat is accepted but is no contact.
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

// RaisePromise records contact and a promise that was made durable by other means, such
// as an accepted entry.
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

// Vacate records that the holder with this number has stepped down.
func (v *Voter) Vacate(number Number) {
	v.mu.Lock()
	if !number.Less(v.promised) {
		v.lastContact, v.steppedDown = time.Time{}, number
	}
	v.mu.Unlock()
}

// Promised returns the highest promise and the time since the last contact with the
// holder, which is an hour if there was none.
func (v *Voter) Promised() (Number, time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.lastContact.IsZero() {
		return v.promised, time.Hour
	}
	return v.promised, time.Since(v.lastContact)
}

// Poll sends a request to all voters concurrently and passes each response to handle,
// in the caller's goroutine, until handle returns true, all voters have responded or
// ctx is done.
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

// Reset clears the promise and the contact time when the replica gets a new identity.
func (v *Voter) Reset() {
	v.mu.Lock()
	v.promised, v.lastContact, v.steppedDown = Number{}, time.Time{}, Number{}
	v.mu.Unlock()
}
