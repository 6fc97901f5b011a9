// Command run plays case 2: a worker signs off, its node and the core are killed, and a beat
// that the worker had sent before arrives late, while the node is starting.
package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"puffincrank/review/run/mesh"
)

const config = `{"version":1,"paths":[{"name":"r-read","host":"reader.example","prefix":"/read/","repeat":"safe","left_ms":800,"aim_ms":200,"rank":2,"service":"lettore","tries":2},
{"name":"r-loan","host":"reader.example","prefix":"/loan/","repeat":"never","left_ms":1000,"aim_ms":250,"rank":1,"service":"lettore","tries":2}],
"services":[{"name":"lettore","fitness":"/health","links":120,"proto":"h1","tls":false},{"name":"prestiti","fitness":"/health","links":120,"proto":"h1","tls":false}],
"limits":{"head_bytes":16384,"body_bytes":67108864,"head_ms":3000,"idle_ms":15000}}`

// seen holds what clients and workers saw.
type seen struct {
	mu       sync.Mutex
	sent     map[string]time.Time
	arrivals []mesh.Arrival
	answers  map[string]mesh.Answer
}

func main() {
	trouble := os.Getenv("TROUBLE") != "0"
	m := mesh.New(os.Args[1], "lettore", "lettore", "lettore", "prestiti")
	defer m.Close()
	s := &seen{sent: map[string]time.Time{}, answers: map[string]mesh.Answer{}}
	note := func(a mesh.Arrival) {
		s.mu.Lock()
		s.arrivals = append(s.arrivals, a)
		s.mu.Unlock()
	}
	var workers []*mesh.Worker
	for i, machine := range m.Side {
		workers = append(workers, m.StartWorker(machine, fmt.Sprintf("i-%d", i+1), 80*time.Millisecond, note))
	}
	m.StartAll(config)
	for _, w := range workers {
		w.StartBeats()
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 8 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				machine := m.Side[1+2*(i%2)]
				method, path, deadline := "GET", fmt.Sprintf("/read/%d", n), 800*time.Millisecond
				if n%2 == 1 {
					method, path, deadline = "POST", fmt.Sprintf("/loan/%d", n), time.Second
				}
				answer := m.Request(machine, method, path, "", deadline)
				s.mu.Lock()
				s.sent[answer.Attempt], s.answers[answer.Attempt] = answer.Sent, answer
				s.mu.Unlock()
				m.Log("client at %s: %s %s sent %.3f code %d %s", machine.Name, answer.Attempt, path, answer.Sent.Sub(m.Start).Seconds(), answer.Code, answer.Err)
			}
		}()
	}
	time.Sleep(4 * time.Second)
	// The worker's last beat is on its way when it signs off.
	leaving := workers[0]
	leaving.StopBeats()
	late := leaving.NextBeat("up")
	m.Log("worker %s sends its last beat, which will arrive late", leaving.ID)
	time.Sleep(100 * time.Millisecond)
	var left time.Time
	for left.IsZero() {
		if code := leaving.SignOff(); code == 200 {
			left = time.Now()
		}
	}
	m.Log("DELETE of worker %s acknowledged", leaving.ID)
	time.Sleep(300 * time.Millisecond)
	killed := []*mesh.Process{m.Side[0].Procs[0]}
	for _, c := range m.Core {
		killed = append(killed, c.Procs...)
	}
	if trouble {
		for _, p := range killed {
			p.Signal(syscall.SIGKILL)
		}
		for _, p := range killed {
			p.Wait(5 * time.Second)
		}
	}
	time.Sleep(200 * time.Millisecond)
	if trouble {
		m.Restart(m.Side[0])
	}
	time.Sleep(500 * time.Millisecond)
	m.Log("the late beat arrives: %d", leaving.Send(late))
	time.Sleep(100 * time.Millisecond)
	started := left
	if trouble {
		for _, c := range m.Core {
			m.Restart(c)
		}
		started = time.Now()
	}
	// The worker serves on for some seconds and ends.
	time.Sleep(mesh.Contact + 500*time.Millisecond)
	leaving.End()
	m.Log("worker %s has ended", leaving.ID)
	time.Sleep(3 * time.Second)
	close(stop)
	clients.Wait()
	os.Exit(judge(m, s, leaving, left, started))
}

// judge applies rule DRAIN. Every machine is in touch from the given moment on, when the last
// process was started, plus contactS.
func judge(m *mesh.Mesh, s *seen, leaving *mesh.Worker, left, started time.Time) int {
	inTouch := started.Add(mesh.Contact)
	m.Log("all machines are in touch from %.3f, DRAIN holds from %.3f", inTouch.Sub(m.Start).Seconds(), left.Add(mesh.Drain).Sub(m.Start).Seconds())
	broken, after, served, lost := 0, 0, 0, 0
	for _, a := range s.arrivals {
		sent := s.sent[a.Attempt]
		if a.Worker != leaving.ID {
			if sent.After(inTouch) {
				served++
			}
			continue
		}
		if a.At.After(left) {
			after++
			m.Log("worker %s ran %s at %.3f, sent %.3f", a.Worker, a.Attempt, a.At.Sub(m.Start).Seconds(), sent.Sub(m.Start).Seconds())
		}
		if sent.After(inTouch) && a.At.After(left.Add(mesh.Drain)) {
			broken++
			if answer := s.answers[a.Attempt]; answer.Code != 200 {
				lost++
				m.Log("%s %s was at work there and got %d: %s", a.Attempt, a.Path, answer.Code, answer.Err)
			}
		}
	}
	m.Log("requests at the worker that had signed off: %d after its 200, %d of them against DRAIN; of those %d got no success; other workers ran %d in that time", after, broken, lost, served)
	fmt.Printf("DRAIN broken %d times (%d requests after the sign-off, %d lost with the worker)\n", broken, after, lost)
	m.Close()
	switch {
	case served == 0:
		return 2
	case broken > 0:
		return 1
	}
	return 0
}
