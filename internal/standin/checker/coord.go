package checker

import (
	"sort"
	"strings"
	"time"
)

// Kinds of calls for locks, numbers and keys.
const (
	Take   = "take"
	Renew  = "renew"
	Free   = "free"
	Number = "number"
	Put    = "put"
	Get    = "get"
	Watch  = "watch"
)

// Op is one call of an application and its answer.
type Op struct {
	Kind, Name, Owner string
	At                string // the machine that was called
	Value             string // put: what; get: what came
	Cond              bool   // put: only over revision If
	If                uint64
	First             time.Time // put sent again: when it was sent first
	From, To          time.Time
	Code              int    // 0: no clear answer
	Num               uint64 // fence, number or revision that came
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

func group(key string) string {
	if i := strings.IndexByte(key, '.'); i >= 0 {
		return key[:i+1]
	}
	return key
}

// Called writes down a call when it has ended.
func (w *Witness) Called(o *Op) {
	w.mu.Lock()
	if o.First.IsZero() {
		o.First = o.From
	}
	w.ops = append(w.ops, o)
	w.mu.Unlock()
}

// Holds writes down a hold; its end may still move.
func (w *Witness) Holds(h *Hold) {
	w.mu.Lock()
	w.holds = append(w.holds, h)
	w.mu.Unlock()
}

// each sorts the calls of some kinds by name.
func (w *Witness) each(of func(*Op) bool, name func(*Op) string) map[string][]*Op {
	out := map[string][]*Op{}
	for _, o := range w.ops {
		if of(o) {
			out[name(o)] = append(out[name(o)], o)
		}
	}
	return out
}

func plainName(o *Op) string { return o.Name }

// locks: no two hold one lock, fences rise. ONE.
func (w *Witness) locks() {
	held := map[string][]*Hold{}
	for _, h := range w.holds {
		held[h.Name] = append(held[h.Name], h)
	}
	for name, list := range held {
		sort.Slice(list, func(i, j int) bool { return list[i].From.Before(list[j].From) })
		for i, a := range list {
			for _, b := range list[i+1:] {
				if !b.From.Before(a.Until) {
					continue
				}
				if a.Owner != b.Owner && b.From.Before(b.Until) {
					w.blame(One, "%s held by %s (%d) until %s and by %s (%d) from %s", name, a.Owner, a.Fence, stamp(a.Until), b.Owner, b.Fence, stamp(b.From))
				}
			}
		}
	}
	for name, list := range w.each(func(o *Op) bool { return o.Kind == Take && o.Code == 200 }, plainName) {
		whose := map[uint64]string{}
		for _, o := range list {
			if who, ok := whose[o.Num]; ok && who != o.Owner {
				w.blame(One, "fence %d of %s went to %s and %s", o.Num, name, who, o.Owner)
			}
			whose[o.Num] = o.Owner
		}
		w.above(One, "fence of "+name, list, func(a, b *Op) bool { return a.Owner != b.Owner })
	}
}

// above blames every number that is not above one given out before its call
// was sent, of those that pair says are to be compared.
func (w *Witness) above(rule, what string, list []*Op, pair func(a, b *Op) bool) {
	ends := append([]*Op(nil), list...)
	sort.Slice(ends, func(i, j int) bool { return ends[i].To.Before(ends[j].To) })
	begins := append([]*Op(nil), list...)
	sort.Slice(begins, func(i, j int) bool { return begins[i].First.Before(begins[j].First) })
	var high []*Op // given out so far, highest last
	at := 0
	for _, o := range begins {
		for ; at < len(ends) && ends[at].To.Before(o.First); at++ {
			if len(high) == 0 || ends[at].Num >= high[len(high)-1].Num {
				high = append(high, ends[at])
			} else {
				i := sort.Search(len(high), func(i int) bool { return high[i].Num > ends[at].Num })
				high = append(high[:i], append([]*Op{ends[at]}, high[i:]...)...)
			}
		}
		for i := len(high) - 1; i >= 0 && high[i].Num >= o.Num; i-- {
			if pair(high[i], o) {
				w.blame(rule, "%s: %d given at %s to a call sent at %s, %d was given before", what, o.Num, stamp(o.To), stamp(o.First), high[i].Num)
				break
			}
		}
	}
}

// orders: numbers are given once and rise, and so do the revisions of a group.
// ORDER.
func (w *Witness) orders() {
	for name, list := range w.each(func(o *Op) bool { return o.Kind == Number && o.Code == 200 }, plainName) {
		once := map[uint64]bool{}
		for _, o := range list {
			if once[o.Num] {
				w.blame(Order, "number %d of %s was given twice", o.Num, name)
			}
			once[o.Num] = true
		}
		w.above(Order, "number "+name, list, func(a, b *Op) bool { return a != b })
	}
	for name, list := range w.each(func(o *Op) bool { return o.Kind == Put && o.Code == 200 }, func(o *Op) string { return group(o.Name) }) {
		whose := map[uint64]*Op{}
		first := map[string]uint64{}
		for _, o := range list {
			if p := whose[o.Num]; p != nil && (p.Value != o.Value || p.Name != o.Name) {
				w.blame(Order, "revision %d of %s was given to %s and %s", o.Num, name, p.Name, o.Name)
			}
			whose[o.Num] = o
			if n, ok := first[o.Name+"\n"+o.Value]; ok && n != o.Num {
				w.blame(Order, "%s sent again got revision %d after %d", o.Name, o.Num, n)
			}
			first[o.Name+"\n"+o.Value] = o.Num
		}
		w.above(Order, "revision of "+name, list, func(a, b *Op) bool { return a.Name != b.Name || a.Value != b.Value })
		for _, o := range list {
			if !o.Cond {
				continue
			}
			for _, p := range list {
				if p.Name == o.Name && p.Num > o.If && p.Num < o.Num {
					w.blame(Order, "%s put over %d as %d, but %d lies between", o.Name, o.If, o.Num, p.Num)
				}
			}
		}
	}
}
