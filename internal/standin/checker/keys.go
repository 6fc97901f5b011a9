package checker

import (
	"sort"
	"time"
)

// promisesNoEffect reports whether a status promises that the put had no effect.
func promisesNoEffect(code int) bool { return code == 412 || code == 429 || code == 503 }

// putHistory sums up all sends of one put.
type putHistory struct {
	name, value string
	firstSentAt time.Time
	revision    uint64 // 0 if no answer named it
	ackedAt     time.Time
	uncertain   bool // the outcome of some send is unknown
	rejected    bool // every send was rejected
}

func (w *Recorder) putHistories() map[string]*putHistory {
	histories := map[string]*putHistory{}
	for _, op := range w.calls {
		if op.Kind != Put {
			continue
		}
		key := op.Name + "\n" + op.Value
		history := histories[key]
		if history == nil {
			history = &putHistory{name: op.Name, value: op.Value, firstSentAt: op.FirstSentAt, rejected: true}
			histories[key] = history
		}
		switch {
		case op.Status == 200:
			history.revision, history.rejected = op.Number, false
			if history.ackedAt.IsZero() || op.End.Before(history.ackedAt) {
				history.ackedAt = op.End
			}
		case !promisesNoEffect(op.Status):
			history.uncertain, history.rejected = true, false
		}
	}
	return histories
}

// observedValue is a value that a read or watch returned, with its revision.
type observedValue struct {
	key, value string
	revision   uint64
	at         time.Time
}

// checkKeys checks that reads are no older than acknowledged puts (STALE), that every value
// was put under its key and has one revision (MIXED), and that rejected puts had no effect
// (REFUSED).
func (w *Recorder) checkKeys() {
	histories := w.putHistories()
	var observed []observedValue
	for _, op := range w.calls {
		switch {
		case op.Kind == Get && op.Status == 200:
			observed = append(observed, observedValue{op.Name, op.Value, op.Number, op.End})
		case op.Kind == Watch && op.Status == 200:
			for _, c := range op.Changes {
				observed = append(observed, observedValue{c.Key, c.Value, c.Revision, op.End})
			}
		}
	}
	revisionOf := map[string]uint64{}
	type groupRevision struct {
		group    string
		revision uint64
	}
	keyAt := map[groupRevision]string{}
	for _, s := range histories {
		if s.revision > 0 {
			revisionOf[s.name+"\n"+s.value] = s.revision
			keyAt[groupRevision{keyGroup(s.name), s.revision}] = s.name
		}
	}
	for _, s := range observed {
		valueKey := s.key + "\n" + s.value
		history := histories[valueKey]
		switch {
		case history == nil:
			w.recordBreach(Mixed, "%s has value %q, which nobody put there", s.key, s.value)
		case history.rejected:
			w.recordBreach(Refused, "%s has value %q, whose put was rejected", s.key, s.value)
		}
		if revision, ok := revisionOf[valueKey]; ok && revision != s.revision {
			w.recordBreach(Mixed, "%s has value %q under revisions %d and %d", s.key, s.value, revision, s.revision)
		}
		revisionOf[valueKey] = s.revision
		keyAt[groupRevision{keyGroup(s.key), s.revision}] = s.key
	}
	uncertain := map[string]bool{}
	for _, s := range histories {
		uncertain[s.name] = uncertain[s.name] || s.uncertain
	}
	for _, op := range w.calls {
		if op.Kind != Put || op.Status != 412 || op.Number == 0 {
			continue
		}
		key, ok := keyAt[groupRevision{keyGroup(op.Name), op.Number}]
		if ok && key != op.Name || !ok && !uncertain[op.Name] {
			w.recordBreach(Mixed, "a 412 names revision %d of %s, which no put to that key got", op.Number, op.Name)
		}
	}
	w.checkStaleReads(histories)
}

func (w *Recorder) checkStaleReads(histories map[string]*putHistory) {
	acked := map[string][]*putHistory{}
	for _, history := range histories {
		if history.revision > 0 {
			acked[history.name] = append(acked[history.name], history)
		}
	}
	for _, list := range acked {
		sort.Slice(list, func(i, j int) bool { return list[i].ackedAt.Before(list[j].ackedAt) })
		// Replace each revision by the highest one acknowledged up to then.
		for i := 1; i < len(list); i++ {
			if list[i].revision < list[i-1].revision {
				raised := *list[i]
				raised.revision = list[i-1].revision
				list[i] = &raised
			}
		}
	}
	for _, op := range w.calls {
		if op.Kind != Get || op.Status != 200 && op.Status != 404 {
			continue
		}
		list := acked[op.Name]
		ackedBefore := sort.Search(len(list), func(i int) bool { return !list[i].ackedAt.Before(op.Start) })
		if ackedBefore == 0 {
			continue
		}
		lowest := list[ackedBefore-1].revision
		if op.Status == 404 || op.Number < lowest {
			rule := Stale
			if !w.finalFault[0].IsZero() && op.Start.After(w.finalFault[0]) && list[ackedBefore-1].ackedAt.Before(w.finalFault[0]) {
				rule = Lost
			}
			w.recordBreach(rule, "%s read at %d (%d) by a call sent %s, %d was acknowledged before", op.Name, op.Number, op.Status, clockTime(op.Start), lowest)
		}
	}
}

// checkWatches checks that the revisions of a watch rise and that it skips no acknowledged put
// (ORDER), and that a revision that was returned recently can be watched from (LOST).
func (w *Recorder) checkWatches() {
	type ackedPut struct {
		revision uint64
		key      string
	}
	puts := map[string][]ackedPut{}
	for _, history := range w.putHistories() {
		if history.revision > 0 {
			puts[keyGroup(history.name)] = append(puts[keyGroup(history.name)], ackedPut{history.revision, history.name})
		}
	}
	givenAt := map[string]map[uint64]time.Time{}
	for _, op := range w.calls {
		if op.Kind != Watch {
			continue
		}
		if givenAt[op.Name] == nil {
			givenAt[op.Name] = map[uint64]time.Time{}
		}
		if op.Status == 410 {
			if at, ok := givenAt[op.Name][op.After]; ok && op.Start.Sub(at) < w.Bounds.WatchHistory {
				w.recordBreach(Lost, "a watch of %s after %d got 410, %v after that revision was returned", op.Name, op.After, op.Start.Sub(at))
			}
			continue
		}
		if op.Status != 200 {
			continue
		}
		lastRevision := op.After
		seen := map[uint64]bool{}
		for _, c := range op.Changes {
			if c.Revision <= lastRevision {
				w.recordBreach(Order, "a watch of %s gave revision %d after %d", op.Name, c.Revision, lastRevision)
			}
			lastRevision = c.Revision
			seen[c.Revision] = true
		}
		if op.After > 0 && op.Number < op.After || lastRevision > op.Number && op.After > 0 {
			w.recordBreach(Order, "a watch of %s after %d ended at %d with %d in it", op.Name, op.After, op.Number, lastRevision)
		}
		// A watch after 0 asks only for the current revision.
		for _, p := range puts[op.Name] {
			if op.After > 0 && p.revision > op.After && p.revision <= op.Number && !seen[p.revision] {
				w.recordBreach(Order, "a watch of %s from %d to %d skipped %d of %s", op.Name, op.After, op.Number, p.revision, p.key)
			}
		}
		givenAt[op.Name][op.Number] = op.End
	}
	w.checkFinalCalls()
}

// checkFinalCalls checks that each call made at the end of the test run gets a definite answer
// in time (LOST).
func (w *Recorder) checkFinalCalls() {
	answered := map[string]bool{}
	for _, op := range w.calls {
		if op.Final {
			call := op.Kind + " " + op.Name
			answered[call] = answered[call] || op.Status == 200 || op.Status == 404 || op.Status == 409 || op.Status == 410
		}
	}
	for call, ok := range answered {
		if !ok {
			w.recordBreach(Lost, "%s got no definite answer at the end of the test run", call)
		}
	}
}
