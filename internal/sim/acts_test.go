package sim

import (
	"fmt"
	"strings"
	"time"

	"puffincrank/internal/standin"
)

// leaves lets a worker say that it is leaving; its word may wait unread.
func (d draw) leaves(worker *standin.Worker) {
	d.mu.Lock()
	d.left++
	d.mu.Unlock()
	worker.Leave("draining")
}

// renew ends a worker that left and starts a fresh one of some service.
func (d draw) renew(node *Node) {
	node.Worker.Leave("gone")
	d.f.KillWorker(node)
	d.f.StartWorker(node, d.service())
}

// shift is a worker's polite leave, with a fresh one in its place.
func (d draw) shift() {
	node := d.take()
	defer d.free(node)
	d.say("worker at %s leaves", node.Host)
	d.leaves(node.Worker)
	Wait(2500 * time.Millisecond)
	d.renew(node)
}

// raceChanges is what became of changes sent at once by as many operators, by the path
// of the shape's document whose time left is changed. Each operator has a name:
// one that sends its change again would get its first answer.
func (d draw) raceChanges(operator string, base float64, docs []string) map[int]int {
	codes := make(chan int, len(docs))
	for i, doc := range docs {
		address := d.f.Nodes[d.IntN(len(d.f.Nodes))].Host + ":7003"
		go func() {
			code, _ := d.f.Ask("PUT", address, fmt.Sprintf("/puffin/config?based_on=%v&who=%s-%d&emergency=true&left_ms=2500", base, operator, i), doc)
			if code == 200 {
				d.f.Obs.Acked(uint64(base) + 1)
			}
			codes <- code
		}()
	}
	statuses := map[int]int{}
	for range docs {
		statuses[<-codes]++
	}
	return statuses
}

// change sends two changes on one base, one on an old base and a broken one.
func (d draw) change() {
	address := d.f.Nodes[d.IntN(len(d.f.Nodes))].Host + ":7003"
	_, config := d.f.Get(address, "/puffin/config?left_ms=1500")
	version, ok := config["version"].(float64)
	if !ok {
		return
	}
	doc := strings.Replace(d.f.S.Doc, `"judge"`, fmt.Sprintf(`"limits":{"queue_share":%d},"judge"`, 1+d.IntN(3)), 1)
	statuses := d.raceChanges("racer", version, []string{doc, d.f.S.Doc, strings.Replace(doc, `"share":`, `"share":1`, 1)})
	staleStatuses := d.raceChanges("late", version-1, []string{doc})
	d.say("changes on %v answered %v, an old one %v", version, statuses, staleStatuses)
	if statuses[200] > 1 || staleStatuses[200] > 0 {
		d.f.T.Errorf("changes on one base answered %v, an old one %v", statuses, staleStatuses)
	}
}

// propose begins a trial of the first path, which goes on under later faults.
func (d draw) propose() {
	address := d.f.Nodes[d.IntN(len(d.f.Nodes))].Host + ":7003"
	_, config := d.f.Get(address, "/puffin/config?left_ms=1500")
	version, ok := config["version"].(float64)
	if !ok {
		return
	}
	code, _ := d.f.Ask("POST", address, fmt.Sprintf("/puffin/trials?based_on=%v&left_ms=2500", version),
		fmt.Sprintf(`{"path":%q,"service":%q}`, pathOf(d.f.S), d.f.S.Services[0]+"2"))
	if code == 200 {
		d.f.Obs.Acked(uint64(version) + 1)
	}
	d.say("a trial proposed on %v answered %d", version, code)
	Wait(d.ms(1000, 2000))
}
