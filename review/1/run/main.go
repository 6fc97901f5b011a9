// Command run plays case 1: workers run requests and lose the answers of a few of them. The
// requests belong to a route of which nothing may be repeated; the path of a repeatable route
// is theirs and one slash more.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"puffincrank/review/run/mesh"
)

const config = `{"version":1,"paths":[
{"name":"r-loans","host":"reader.example","prefix":"/loans/","repeat":"never","left_ms":1000,"aim_ms":250,"rank":1,"service":"prestiti","tries":2},
{"name":"r-archive","host":"reader.example","prefix":"/loans/archive/","repeat":"safe","left_ms":800,"aim_ms":200,"rank":2,"service":"prestiti","tries":2}],
"services":[{"name":"prestiti","fitness":"/health","links":120,"proto":"h1","tls":false}],
"limits":{"head_bytes":16384,"body_bytes":67108864,"head_ms":3000,"idle_ms":15000}}`

// The dose of the site file: answer_lost, how reset, share 0.5, x 0.05, for 4 s.
const (
	lostShare = 0.05
	lostFor   = 4 * time.Second
)

// The paths that clients call, and whether the configuration lets their requests be repeated:
// a prefix ends with a slash, so only the last one is the archive's.
var paths = []struct {
	method, path string
	repeatable   bool
}{
	{"POST", "/loans/archive", false},
	{"POST", "/loans/17", false},
	{"POST", "/loans/archive", false},
	{"GET", "/loans/archive/17", true},
}

func main() {
	m := mesh.New(os.Args[1], "prestiti", "prestiti", "prestiti", "prestiti")
	var mu sync.Mutex
	runs := map[string][]mesh.Arrival{}
	answers := map[string]mesh.Answer{}
	kind := map[string]int{}
	note := func(a mesh.Arrival) {
		mu.Lock()
		runs[a.Attempt] = append(runs[a.Attempt], a)
		mu.Unlock()
		m.Log("worker %s runs %s %s", a.Worker, a.Attempt, a.Path)
	}
	var workers []*mesh.Worker
	for i, machine := range m.Side {
		workers = append(workers, m.StartWorker(machine, fmt.Sprintf("i-%d", i+1), 40*time.Millisecond, note))
	}
	m.StartAll(config)
	for _, w := range workers {
		w.StartBeats()
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 32 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for n := i; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				which := n % len(paths)
				machine := m.Side[i%len(m.Side)]
				answer := m.Request(machine, paths[which].method, paths[which].path, "", time.Second)
				mu.Lock()
				answers[answer.Attempt], kind[answer.Attempt] = answer, which
				mu.Unlock()
				m.Log("client at %s: %s %s %s: %d %s", machine.Name, answer.Attempt, paths[which].method, paths[which].path, answer.Code, answer.Err)
			}
		}()
	}
	time.Sleep(2 * time.Second)
	if os.Getenv("TROUBLE") != "0" {
		m.Log("workers i-1 and i-2 lose the answers of %.0f in 100 of the requests that they run", lostShare*100)
		workers[0].LoseAnswers(lostShare, lostFor)
		workers[1].LoseAnswers(lostShare, lostFor)
	}
	time.Sleep(lostFor + 2*time.Second)
	close(stop)
	clients.Wait()
	// Further tries of the mesh, if any, end with the requests.
	time.Sleep(time.Second)
	mu.Lock()
	code := judge(m, runs, answers, kind)
	mu.Unlock()
	m.Close()
	os.Exit(code)
}

// judge applies rule TWICE: a request that isn't repeatable is run more than once.
func judge(m *mesh.Mesh, runs map[string][]mesh.Arrival, answers map[string]mesh.Answer, kind map[string]int) int {
	sent, twice, served := make([]int, len(paths)), make([]int, len(paths)), 0
	for attempt, answer := range answers {
		which := kind[attempt]
		sent[which]++
		if answer.Code == 200 && answer.Complete {
			served++
		}
		if all := runs[attempt]; len(all) > 1 {
			twice[which]++
			m.Log("%s %s %s ran %d times, at %s and %s; its client got %d", attempt, paths[which].method, paths[which].path, len(all), all[0].Worker, all[1].Worker, answer.Code)
		}
	}
	broken := 0
	for i, p := range paths {
		m.Log("%s %s, repeatable %v: sent %d, run more than once %d", p.method, p.path, p.repeatable, sent[i], twice[i])
		if !p.repeatable {
			broken += twice[i]
		}
	}
	fmt.Printf("TWICE broken %d times (%d requests, %d served)\n", broken, len(answers), served)
	switch {
	case served < len(answers)/2:
		return 2
	case broken > 0:
		return 1
	}
	return 0
}
