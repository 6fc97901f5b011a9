package plumtree

import (
	"encoding/binary"
	"slices"
	"strconv"
	"time"
)

// MaxEagerBurst is how many pieces go over the eager links whole between two ticks.
// When more come at once, as when all nodes start or a zone returns, links are
// not yet pruned, or each is the best for another source, and each piece would
// go over nearly all of them: the others go by name and are fetched many at a
// time, once for each node.
const MaxEagerBurst = 8

// Batching is how the host carries many pieces at once. Without it all go alone.
type Batching struct {
	// Soon is asked to call Flush before the next tick.
	RequestFlush func()
	// Late is asked to call Graft half a wait later.
	RequestGraft func()
	// Give bundles pieces, of each the name and, if it is at hand, the body.
	Encode func(ids []string, bodies [][]byte) []byte
	// Take takes in a bundle, and gives what of it was news.
	Decode func(bundle []byte) []Item
	// Find makes the body of a piece anew, nil when it can't.
	Rebuild func(id string) []byte
}

// Item is one piece of news. Body is nil when the host can make it anew.
type Item struct {
	ID   string
	Body []byte
}

// SetBatching sets how many pieces are carried at once; before the first message.
func (t *Tree) SetBatching(b Batching) { t.bulk = b }

// crowd tells whether one more piece is over what goes whole before the next
// tick; mu is held.
func (t *Tree) crowd() bool {
	t.fresh++
	return t.bulk.RequestFlush != nil && t.fresh > MaxEagerBurst
}

// later has a piece wait for the next flush as a name; mu is held, and
// Soon must not come back into the tree.
func (t *Tree) later(id string, but ...string) {
	t.name(id, but...)
	t.busy = true
	t.hurry()
}

// hurry has the names that wait sent before the next tick; mu is held.
func (t *Tree) hurry() {
	if t.bulk.RequestFlush != nil && !t.due {
		t.due = true
		t.bulk.RequestFlush()
	}
}

// Flush sends the names that wait.
func (t *Tree) Flush() {
	t.mu.Lock()
	t.due = false
	all := t.called()
	t.mu.Unlock()
	t.flush(all)
}

// called makes the messages of all names that wait; mu is held.
func (t *Tree) called() []out {
	var all []out
	for a, ids := range t.names {
		m := Message{Kind: "ihave", From: t.self, NothingComesWhole: t.busy}
		for id := range ids {
			if t.busy {
				id = short(id)
			}
			m.IDs = append(m.IDs, id)
		}
		m.Round = t.hops(ids)
		// Those who go through two lists of one order ask for the same.
		slices.Sort(m.IDs)
		if len(m.IDs) > 0 {
			all = append(all, out{a, m})
		}
		delete(t.names, a)
	}
	return all
}

// bundle answers a pull; mu is not held.
func (t *Tree) bundle(m Message) []out {
	var ids []string
	var bodies [][]byte
	t.mu.Lock()
	for _, id := range m.IDs {
		id = long(id)
		ids, bodies = append(ids, id), append(bodies, t.had[id].body)
	}
	t.mu.Unlock()
	if t.bulk.Encode == nil || len(ids) == 0 {
		return nil
	}
	return []out{{m.From, Message{Kind: "many", From: t.self, Body: t.bulk.Encode(ids, bodies)}}}
}

// many takes in a bundle and names its news to the neighbours.
func (t *Tree) many(m Message) {
	if t.bulk.Decode == nil {
		return
	}
	news := t.bulk.Decode(m.Body)
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range news {
		if _, ok := t.had[p.ID]; ok {
			continue
		}
		// What the host can make anew it knows: it need not stand here too, once
		// for each of many thousands.
		if p.Body != nil {
			t.had[p.ID] = kept{body: p.Body, at: now, loose: true}
		}
		delete(t.gap, p.ID)
		t.later(p.ID, m.From)
	}
}

// short is a name as it travels among many: the number as it is, not as text.
func short(id string) string {
	if len(id) < 2 || id[0] != 'a' && id[0] != 'd' {
		return id
	}
	n, err := strconv.ParseUint(id[1:], 36, 64)
	if err != nil || strconv.FormatUint(n, 36) != id[1:] {
		return id
	}
	return string(binary.BigEndian.AppendUint64([]byte{id[0] &^ 0x20}, n))
}

// long is the name that a short one stands for.
func long(id string) string {
	if len(id) != 9 || id[0] != 'A' && id[0] != 'D' {
		return id
	}
	return string(id[0]|0x20) + strconv.FormatUint(binary.BigEndian.Uint64([]byte(id[1:])), 36)
}
