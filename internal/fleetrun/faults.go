package fleetrun

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"puffincrank/internal/standin"
)

// runTrial proposes to move the first route to the second service, whose workers get the
// given behavior, and checks the outcome of the trial.
func (r *Run) runTrial(wantState string, behavior standin.WorkerBehavior, meanwhile func()) {
	service := r.Shape.Services[0]
	alternative := service + "2"
	took := r.Shape.ServiceTimes[alternative]
	if behavior.Took > 0 {
		took *= behavior.Took
	}
	behavior.Took = took
	address := r.Nodes[0].Host + ":7003"
	_, config := r.Get("GET", address, "/puffin/config", "")
	baseVersion, _ := config["version"].(float64)
	routeName, current := "", ""
	document, _ := config["document"].(map[string]any)
	if routes, _ := document["paths"].([]any); len(routes) > 0 {
		route, _ := routes[0].(map[string]any)
		routeName, current = fmt.Sprint(route["name"]), fmt.Sprint(route["service"])
	}
	// After a promotion the next trial moves the route back.
	target := alternative
	if current == alternative {
		target = service
	}
	for _, n := range r.Nodes {
		if n.Service == target {
			n.Worker.SetBehavior(behavior)
		}
	}
	code, got := r.Get("POST", address, fmt.Sprintf("/puffin/trials?based_on=%v", baseVersion), fmt.Sprintf(`{"path":%q,"service":%q}`, routeName, target))
	if code != 200 {
		r.failures = append(r.failures, fmt.Sprintf("propose answered %d %v", code, got))
		return
	}
	id := got["trial"]
	meanwhile()
	var trial map[string]any
	r.WaitFor(60*time.Second, func() bool {
		_, answer := r.Get("GET", r.Nodes[2].Host+":7003", fmt.Sprintf("/puffin/trials/%v", id), "")
		trial, _ = answer["trial"].(map[string]any)
		return trial != nil && trial["state"] != "running"
	})
	r.Log("  trial %v: %v, %v", id, trial["state"], trial["why"])
	if trial["state"] != wantState {
		r.failures = append(r.failures, fmt.Sprintf("trial %v ended %v, want %s", id, trial["state"], wantState))
	}
	for _, n := range r.Nodes {
		n.Worker.SetBehavior(standin.WorkerBehavior{Took: r.Shape.ServiceTimes[n.Service]})
	}
}

// setWorkerFaults changes the behavior of two workers. The zero value ends their faults.
func (r *Run) setWorkerFaults(behavior standin.WorkerBehavior) {
	for _, i := range []int{0, 4} {
		n := r.Nodes[i]
		behavior.Took = r.Shape.ServiceTimes[n.Service]
		n.Worker.SetBehavior(behavior)
	}
}

// leader returns the machine of the store that leads, or the first one if none does.
func (r *Run) leader() *ControlMachine {
	for _, c := range r.ControlMachines {
		if code, got := r.Get("GET", c.Host+":7004", "/puffin/ready", ""); code == 200 && got["role"] == "write" {
			return c
		}
	}
	return r.ControlMachines[0]
}

func (r *Run) pauseLeader(duration time.Duration) {
	machine := r.leader()
	machine.Store.Signal(syscall.SIGSTOP)
	sleep(duration)
	machine.Store.Signal(syscall.SIGCONT)
}

// killNodes kills several proxies with their workers at once and starts them again.
func (r *Run) killNodes(count int, downtime time.Duration) {
	begin := time.Now()
	nodes := r.Nodes[:count]
	for _, n := range nodes {
		n.Worker.Kill()
		n.Proxy.Stop(syscall.SIGKILL, time.Second)
	}
	sleep(downtime)
	for _, n := range nodes {
		_ = n.Proxy.Start()
		_ = r.StartWorker(n)
	}
	took, ok := r.WaitFor(15*time.Second, r.Converged)
	for _, n := range nodes {
		r.Observer.Disconnected(n.Host+":8000", begin, time.Now())
	}
	r.Log("  all whole %.2f s after they came back: %v", took.Seconds(), ok)
}

// wipeStore kills a store, removes its data and waits until it is ready again.
func (r *Run) wipeStore(i int) {
	machine := r.ControlMachines[i]
	machine.Store.Stop(syscall.SIGKILL, time.Second)
	data := filepath.Join(r.Dir, machine.Store.Name+".data")
	if !strings.HasPrefix(data, r.Dir) || os.RemoveAll(data) != nil {
		r.failures = append(r.failures, "the data folder could not be wiped")
	}
	sleep(time.Second)
	_ = machine.Store.Start()
	took, ok := r.WaitFor(20*time.Second, func() bool {
		code, _ := r.Get("GET", machine.Host+":7004", "/puffin/ready", "")
		return code == 200
	})
	r.Log("  refilled and in its place after %.2f s: %v", took.Seconds(), ok)
	if !ok {
		r.failures = append(r.failures, "the wiped store did not come back")
	}
}

// changeConcurrently sends two changes with the same base version and an invalid one at
// once: one must be applied, one be refused as a conflict, and the invalid one be refused.
func (r *Run) changeConcurrently() {
	_, config := r.Get("GET", r.Nodes[0].Host+":7003", "/puffin/config", "")
	baseVersion, _ := config["version"].(float64)
	var requests sync.WaitGroup
	codes := make([]int, 3)
	for i, document := range []string{r.Shape.Config, r.Shape.Config, `{"services":[]}`} {
		requests.Add(1)
		r.tasks.Go("race", func(context.Context) {
			defer requests.Done()
			code, got := r.Get("PUT", r.Nodes[i*3].Host+":7003", fmt.Sprintf("/puffin/config?emergency=true&who=operator-%d&based_on=%v", i, baseVersion), document)
			codes[i] = code
			if v, _ := got["version"].(float64); code == 200 {
				r.Observer.VersionAcked(uint64(v))
			}
		})
	}
	requests.Wait()
	r.Log("  answered %v", codes)
	if codes[0]+codes[1] != 200+409 || codes[2] != 422 {
		r.failures = append(r.failures, fmt.Sprintf("racing changes answered %v", codes))
	}
}

// killControlPlane kills all control plane processes, starts them and waits until a write
// succeeds.
func (r *Run) killControlPlane() {
	for _, c := range r.ControlMachines {
		c.Store.Stop(syscall.SIGKILL, time.Second)
		c.Registry.Stop(syscall.SIGKILL, time.Second)
	}
	begin := time.Now()
	for _, c := range r.ControlMachines {
		_ = c.Store.Start()
		_ = c.Registry.Start()
	}
	_, ok := r.WaitFor(15*time.Second, func() bool {
		code, _ := r.Get("PUT", r.Nodes[1].Host+":7003", "/puffin/keys/probe", `{"value":"x"}`)
		return code == 200
	})
	r.Log("  a write goes through %.2f s after they came back: %v", time.Since(begin).Seconds(), ok)
	if !ok {
		r.failures = append(r.failures, "service did not return in time")
	}
}
