package checker

import (
	"sort"
	"strings"
	"time"
)

// The kinds of application calls for locks, numbers and keys.
const (
	Acquire = "take"
	Renew   = "renew"
	Release = "free"
	Number  = "number"
	Put     = "put"
	Get     = "get"
	Watch   = "watch"
)

// Op is one call of an application and its answer. Calls that are sent again to another
// node are recorded one by one.
type Op struct {
	Kind, Name, Owner string
	Node              string // address of the node that was called
	Value             string // put: the value sent; get: the value received
	Conditional       bool   // put: applies only if the key is at IfRevision
	IfRevision        uint64
	FirstSentAt       time.Time // for a call that was sent again: when it was first sent
	Start, End        time.Time
	Status            int    // HTTP status; 0: no complete answer
	Number            uint64 // the fence, number or revision in the answer
	After             uint64 // watch: the revision after which changes are requested
	Changes           []Change
	Final             bool // sent at the end of the test run
}

// Change is one change in the answer to a watch.
type Change struct {
	Key, Value string
	Revision   uint64
}

// LockHold is a period during which a caller considers itself the holder of a lock.
type LockHold struct {
	Name, Owner string
	Fence       uint64
	From, Until time.Time
}

// keyGroup returns the group of a key: its name up to and including the first dot. The keys of
// a group share one sequence of revisions.
func keyGroup(key string) string {
	if i := strings.IndexByte(key, '.'); i >= 0 {
		return key[:i+1]
	}
	return key
}

// RecordCall records a call that has ended.
func (w *Recorder) RecordCall(op *Op) {
	w.mu.Lock()
	if op.FirstSentAt.IsZero() {
		op.FirstSentAt = op.Start
	}
	w.calls = append(w.calls, op)
	w.mu.Unlock()
}

// RecordHold records a hold. Its end may change later, see Update.
func (w *Recorder) RecordHold(hold *LockHold) {
	w.mu.Lock()
	w.holds = append(w.holds, hold)
	w.mu.Unlock()
}

// callsBy groups the matching calls by the given name.
func (w *Recorder) callsBy(match func(*Op) bool, name func(*Op) string) map[string][]*Op {
	ops := map[string][]*Op{}
	for _, op := range w.calls {
		if match(op) {
			ops[name(op)] = append(ops[name(op)], op)
		}
	}
	return ops
}

func callName(op *Op) string { return op.Name }

// checkLocks checks that no lock has two holders at once, and that fences rise with every
// new holder (ONE).
func (w *Recorder) checkLocks() {
	held := map[string][]*LockHold{}
	for _, hold := range w.holds {
		held[hold.Name] = append(held[hold.Name], hold)
	}
	for name, list := range held {
		sort.Slice(list, func(i, j int) bool { return list[i].From.Before(list[j].From) })
		for i, first := range list {
			for _, second := range list[i+1:] {
				if !second.From.Before(first.Until) {
					continue
				}
				if first.Owner != second.Owner && second.From.Before(second.Until) {
					w.recordBreach(One, "%s held by %s (%d) until %s and by %s (%d) from %s", name, first.Owner, first.Fence, clockTime(first.Until), second.Owner, second.Fence, clockTime(second.From))
				}
			}
		}
	}
	for name, list := range w.callsBy(func(op *Op) bool { return op.Kind == Acquire && op.Status == 200 }, callName) {
		owners := map[uint64]string{}
		for _, op := range list {
			if owner, ok := owners[op.Number]; ok && owner != op.Owner {
				w.recordBreach(One, "fence %d of %s went to %s and %s", op.Number, name, owner, op.Owner)
			}
			owners[op.Number] = op.Owner
		}
		w.checkRising(One, "fence of "+name, list, func(first, second *Op) bool { return first.Owner != second.Owner })
	}
}

// checkRising records a breach for every number that is not above a number given out before
// its call was sent, for those pairs of calls that mustRise selects.
func (w *Recorder) checkRising(rule, series string, ops []*Op, mustRise func(earlier, later *Op) bool) {
	ends := append([]*Op(nil), ops...)
	sort.Slice(ends, func(i, j int) bool { return ends[i].End.Before(ends[j].End) })
	begins := append([]*Op(nil), ops...)
	sort.Slice(begins, func(i, j int) bool { return begins[i].FirstSentAt.Before(begins[j].FirstSentAt) })
	var given []*Op // given out so far, in ascending order of the numbers
	ended := 0
	for _, op := range begins {
		for ; ended < len(ends) && ends[ended].End.Before(op.FirstSentAt); ended++ {
			if len(given) == 0 || ends[ended].Number >= given[len(given)-1].Number {
				given = append(given, ends[ended])
			} else {
				i := sort.Search(len(given), func(i int) bool { return given[i].Number > ends[ended].Number })
				given = append(given[:i], append([]*Op{ends[ended]}, given[i:]...)...)
			}
		}
		for i := len(given) - 1; i >= 0 && given[i].Number >= op.Number; i-- {
			if mustRise(given[i], op) {
				w.recordBreach(rule, "%s: %d given at %s to a call sent at %s, %d was given before", series, op.Number, clockTime(op.End), clockTime(op.FirstSentAt), given[i].Number)
				break
			}
		}
	}
}

// checkNumbers checks that numbers, and the revisions of a group of keys, are given out once
// and rise, and that conditional puts apply only to the revision they name (ORDER).
func (w *Recorder) checkNumbers() {
	for name, ops := range w.callsBy(func(op *Op) bool { return op.Kind == Number && op.Status == 200 }, callName) {
		given := map[uint64]bool{}
		for _, op := range ops {
			if given[op.Number] {
				w.recordBreach(Order, "number %d of %s was given twice", op.Number, name)
			}
			given[op.Number] = true
		}
		w.checkRising(Order, "number "+name, ops, func(earlier, later *Op) bool { return earlier != later })
	}
	for name, ops := range w.callsBy(func(op *Op) bool { return op.Kind == Put && op.Status == 200 }, func(op *Op) string { return keyGroup(op.Name) }) {
		byRevision := map[uint64]*Op{}
		revisionOf := map[string]uint64{}
		for _, op := range ops {
			if other := byRevision[op.Number]; other != nil && (other.Value != op.Value || other.Name != op.Name) {
				w.recordBreach(Order, "revision %d of %s was given to %s and %s", op.Number, name, other.Name, op.Name)
			}
			byRevision[op.Number] = op
			if revision, ok := revisionOf[op.Name+"\n"+op.Value]; ok && revision != op.Number {
				w.recordBreach(Order, "%s sent again got revision %d after %d", op.Name, op.Number, revision)
			}
			revisionOf[op.Name+"\n"+op.Value] = op.Number
		}
		w.checkRising(Order, "revision of "+name, ops, func(earlier, later *Op) bool { return earlier.Name != later.Name || earlier.Value != later.Value })
		for _, op := range ops {
			if !op.Conditional {
				continue
			}
			for _, other := range ops {
				if other.Name == op.Name && other.Number > op.IfRevision && other.Number < op.Number {
					w.recordBreach(Order, "%s put over %d as %d, but %d lies between", op.Name, op.IfRevision, op.Number, other.Number)
				}
			}
		}
	}
}
