package sim

import (
	"fmt"
	"strings"
	"time"

	"puffincrank/internal/standin"
)

// leaves lets a worker say that it is leaving; its word may wait unread.
func (d draw) leaves(w *standin.Worker) {
	d.mu.Lock()
	d.left++
	d.mu.Unlock()
	w.Leave("draining")
}

// renew ends a worker that left and starts a fresh one of some service.
func (d draw) renew(n *Node) {
	n.Worker.Leave("gone")
	d.f.KillWorker(n)
	d.f.StartWorker(n, d.service())
}

// shift is a worker's polite leave, with a fresh one in its place.
func (d draw) shift() {
	n := d.take()
	defer d.free(n)
	d.say("worker at %s leaves", n.Host)
	d.leaves(n.Worker)
	Wait(2500 * time.Millisecond)
	d.renew(n)
}

// race is what became of changes sent at once by as many operators, by the path
// of the shape's document whose time left is changed. Each operator has a name:
// one that sends its change again would get its first answer.
func (d draw) race(who string, base float64, docs []string) map[int]int {
	codes := make(chan int, len(docs))
	for i, doc := range docs {
		at := d.f.Nodes[d.IntN(len(d.f.Nodes))].Host + ":7003"
		go func() {
			code, _ := d.f.Ask("PUT", at, fmt.Sprintf("/puffin/config?based_on=%v&who=%s-%d&emergency=true&left_ms=2500", base, who, i), doc)
			if code == 200 {
				d.f.Obs.Acked(uint64(base) + 1)
			}
			codes <- code
		}()
	}
	out := map[int]int{}
	for range docs {
		out[<-codes]++
	}
	return out
}

// change sends two changes on one base, one on an old base and a broken one.
func (d draw) change() {
	at := d.f.Nodes[d.IntN(len(d.f.Nodes))].Host + ":7003"
	_, conf := d.f.Get(at, "/puffin/config?left_ms=1500")
	v, ok := conf["version"].(float64)
	if !ok {
		return
	}
	doc := strings.Replace(d.f.S.Doc, `"judge"`, fmt.Sprintf(`"limits":{"queue_share":%d},"judge"`, 1+d.IntN(3)), 1)
	got := d.race("racer", v, []string{doc, d.f.S.Doc, strings.Replace(doc, `"share":`, `"share":1`, 1)})
	old := d.race("late", v-1, []string{doc})
	d.say("changes on %v answered %v, an old one %v", v, got, old)
	if got[200] > 1 || old[200] > 0 {
		d.f.T.Errorf("changes on one base answered %v, an old one %v", got, old)
	}
}

// propose begins a trial of the first path, which goes on under later faults.
func (d draw) propose() {
	at := d.f.Nodes[d.IntN(len(d.f.Nodes))].Host + ":7003"
	_, conf := d.f.Get(at, "/puffin/config?left_ms=1500")
	v, ok := conf["version"].(float64)
	if !ok {
		return
	}
	code, _ := d.f.Ask("POST", at, fmt.Sprintf("/puffin/trials?based_on=%v&left_ms=2500", v),
		fmt.Sprintf(`{"path":%q,"service":%q}`, pathOf(d.f.S), d.f.S.Services[0]+"2"))
	if code == 200 {
		d.f.Obs.Acked(uint64(v) + 1)
	}
	d.say("a trial proposed on %v answered %d", v, code)
	Wait(d.ms(1000, 2000))
}
