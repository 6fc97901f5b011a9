package checker

import (
	"sort"
	"strings"
	"time"
)

// Kinds of calls for locks, numbers and keys.
const (
	Acquire = "take"
	Renew   = "renew"
	Release = "free"
	Number  = "number"
	Put     = "put"
	Get     = "get"
	Watch   = "watch"
)

// Op is one call of an application and its answer.
type Op struct {
	Kind, Name, Owner string
	Node              string // the machine that was called
	Value             string // put: what; get: what came
	Conditional       bool   // put: only over revision If
	IfRevision        uint64
	FirstSentAt       time.Time // put sent again: when it was sent first
	Start, End        time.Time
	Status            int    // 0: no clear answer
	Number            uint64 // fence, number or revision that came
	After             uint64 // watch: from where
	Changes           []Change
	Final             bool // asked when the day ends
}

// Change is one line of a watch's answer.
type Change struct {
	Key, Value string
	Rev        uint64
}

// Hold is a time in which a caller takes itself to be a lock's holder.
type Hold struct {
	Name, Owner string
	Fence       uint64
	From, Until time.Time
}

func keyGroup(key string) string {
	if i := strings.IndexByte(key, '.'); i >= 0 {
		return key[:i+1]
	}
	return key
}

// RecordCall writes down a call when it has ended.
func (w *Witness) RecordCall(op *Op) {
	w.mu.Lock()
	if op.FirstSentAt.IsZero() {
		op.FirstSentAt = op.Start
	}
	w.ops = append(w.ops, op)
	w.mu.Unlock()
}

// RecordHold writes down a hold; its end may still move.
func (w *Witness) RecordHold(hold *Hold) {
	w.mu.Lock()
	w.holds = append(w.holds, hold)
	w.mu.Unlock()
}

// opsBy sorts the calls of some kinds by name.
func (w *Witness) opsBy(match func(*Op) bool, name func(*Op) string) map[string][]*Op {
	ops := map[string][]*Op{}
	for _, op := range w.ops {
		if match(op) {
			ops[name(op)] = append(ops[name(op)], op)
		}
	}
	return ops
}

func opName(op *Op) string { return op.Name }

// checkLocks: no two hold one lock, fences rise. ONE.
func (w *Witness) checkLocks() {
	held := map[string][]*Hold{}
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
	for name, list := range w.opsBy(func(op *Op) bool { return op.Kind == Acquire && op.Status == 200 }, opName) {
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

// checkRising blames every number that is not above one given out before its call
// was sent, of those that pair says are to be compared.
func (w *Witness) checkRising(rule, series string, ops []*Op, comparable func(earlier, later *Op) bool) {
	ends := append([]*Op(nil), ops...)
	sort.Slice(ends, func(i, j int) bool { return ends[i].End.Before(ends[j].End) })
	begins := append([]*Op(nil), ops...)
	sort.Slice(begins, func(i, j int) bool { return begins[i].FirstSentAt.Before(begins[j].FirstSentAt) })
	var given []*Op // given out so far, highest last
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
			if comparable(given[i], op) {
				w.recordBreach(rule, "%s: %d given at %s to a call sent at %s, %d was given before", series, op.Number, clockTime(op.End), clockTime(op.FirstSentAt), given[i].Number)
				break
			}
		}
	}
}

// checkNumbers: numbers are given once and rise, and so do the revisions of a group.
// ORDER.
func (w *Witness) checkNumbers() {
	for name, ops := range w.opsBy(func(op *Op) bool { return op.Kind == Number && op.Status == 200 }, opName) {
		given := map[uint64]bool{}
		for _, op := range ops {
			if given[op.Number] {
				w.recordBreach(Order, "number %d of %s was given twice", op.Number, name)
			}
			given[op.Number] = true
		}
		w.checkRising(Order, "number "+name, ops, func(earlier, later *Op) bool { return earlier != later })
	}
	for name, ops := range w.opsBy(func(op *Op) bool { return op.Kind == Put && op.Status == 200 }, func(op *Op) string { return keyGroup(op.Name) }) {
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
