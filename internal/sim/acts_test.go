package sim

import (
	"fmt"
	"strings"
	"time"

	"puffincrank/internal/standin"
)

// announceLeave makes a worker announce that it is leaving. The message may stay unread for a
// while.
func (d draw) announceLeave(worker *standin.Worker) {
	d.mu.Lock()
	d.departed++
	d.mu.Unlock()
	worker.Leave("draining")
}

// replaceWorker kills a worker that left and starts a new one, possibly of another service.
func (d draw) replaceWorker(node *Node) {
	node.Worker.Leave("gone")
	d.f.KillWorker(node)
	d.f.StartWorker(node, d.service())
}

// rollWorker replaces a worker after a graceful leave.
func (d draw) rollWorker() {
	node := d.take()
	defer d.release(node)
	d.record("worker at %s leaves", node.Host)
	d.announceLeave(node.Worker)
	Wait(2500 * time.Millisecond)
	d.replaceWorker(node)
}

// raceChanges sends configuration changes based on one version at the same time and counts
// the answers by status. Each is sent by an operator of its own: a second change of one
// operator would count as a retry and get the first answer.
func (d draw) raceChanges(operator string, base float64, docs []string) map[int]int {
	codes := make(chan int, len(docs))
	for i, doc := range docs {
		address := d.f.Nodes[d.IntN(len(d.f.Nodes))].Host + ":7003"
		go func() {
			code, _ := d.f.Request("PUT", address, fmt.Sprintf("/puffin/config?based_on=%v&who=%s-%d&emergency=true&left_ms=2500", base, operator, i), doc)
			if code == 200 {
				d.f.Observer.VersionAcked(uint64(base) + 1)
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

// raceConfigChanges sends two valid changes and an invalid one based on the current version, and a
// change based on an outdated one. At most one of the former and none of the latter may be
// accepted.
func (d draw) raceConfigChanges() {
	address := d.f.Nodes[d.IntN(len(d.f.Nodes))].Host + ":7003"
	_, config := d.f.Get(address, "/puffin/config?left_ms=1500")
	version, ok := config["version"].(float64)
	if !ok {
		return
	}
	doc := strings.Replace(d.f.Shape.Config, `"judge"`, fmt.Sprintf(`"limits":{"queue_share":%d},"judge"`, 1+d.IntN(3)), 1)
	statuses := d.raceChanges("racer", version, []string{doc, d.f.Shape.Config, strings.Replace(doc, `"share":`, `"share":1`, 1)})
	staleStatuses := d.raceChanges("late", version-1, []string{doc})
	d.record("changes on %v answered %v, an old one %v", version, statuses, staleStatuses)
	if statuses[200] > 1 || staleStatuses[200] > 0 {
		d.f.T.Errorf("changes on one base answered %v, an old one %v", statuses, staleStatuses)
	}
}

// proposeTrial starts a trial of the first route, which continues during later faults.
func (d draw) proposeTrial() {
	address := d.f.Nodes[d.IntN(len(d.f.Nodes))].Host + ":7003"
	_, config := d.f.Get(address, "/puffin/config?left_ms=1500")
	version, ok := config["version"].(float64)
	if !ok {
		return
	}
	code, _ := d.f.Request("POST", address, fmt.Sprintf("/puffin/trials?based_on=%v&left_ms=2500", version),
		fmt.Sprintf(`{"path":%q,"service":%q}`, firstRouteName(d.f.Shape), d.f.Shape.Services[0]+"2"))
	if code == 200 {
		d.f.Observer.VersionAcked(uint64(version) + 1)
	}
	d.record("a trial proposed on %v answered %d", version, code)
	Wait(d.ms(1000, 2000))
}
