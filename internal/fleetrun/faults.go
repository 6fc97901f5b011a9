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

// try proposes to move the first path to the second service, whose workers
// behave as given, and checks how the trial ends.
func (r *Run) try(want string, way standin.Way, meanwhile func()) {
	one := r.S.Services[0]
	alt := one + "2"
	took := r.S.Took[alt]
	if way.Took > 0 {
		took *= way.Took
	}
	way.Took = took
	at := r.Nodes[0].Host + ":7003"
	_, conf := r.Get("GET", at, "/puffin/config", "")
	base, _ := conf["version"].(float64)
	path, now := "", ""
	doc, _ := conf["document"].(map[string]any)
	if l, _ := doc["paths"].([]any); len(l) > 0 {
		p, _ := l[0].(map[string]any)
		path, now = fmt.Sprint(p["name"]), fmt.Sprint(p["service"])
	}
	// After a promotion the way back is the next change.
	to := alt
	if now == alt {
		to = one
	}
	for _, n := range r.Nodes {
		if n.Service == to {
			n.Worker.Behave(way)
		}
	}
	code, got := r.Get("POST", at, fmt.Sprintf("/puffin/trials?based_on=%v", base), fmt.Sprintf(`{"path":%q,"service":%q}`, path, to))
	if code != 200 {
		r.missed = append(r.missed, fmt.Sprintf("propose answered %d %v", code, got))
		return
	}
	id := got["trial"]
	meanwhile()
	var tr map[string]any
	r.Until(60*time.Second, func() bool {
		_, one := r.Get("GET", r.Nodes[2].Host+":7003", fmt.Sprintf("/puffin/trials/%v", id), "")
		tr, _ = one["trial"].(map[string]any)
		return tr != nil && tr["state"] != "running"
	})
	r.Mark("  trial %v: %v, %v", id, tr["state"], tr["why"])
	if tr["state"] != want {
		r.missed = append(r.missed, fmt.Sprintf("trial %v ended %v, want %s", id, tr["state"], want))
	}
	for _, n := range r.Nodes {
		n.Worker.Behave(standin.Way{Took: r.S.Took[n.Service]})
	}
}

// sick changes how two workers behave; the zero way makes them well.
func (r *Run) sick(w standin.Way) {
	for _, i := range []int{0, 4} {
		n := r.Nodes[i]
		w.Took = r.S.Took[n.Service]
		n.Worker.Behave(w)
	}
}

func (r *Run) writer() *Core {
	for _, c := range r.Cores {
		if code, got := r.Get("GET", c.Host+":7004", "/puffin/ready", ""); code == 200 && got["role"] == "write" {
			return c
		}
	}
	return r.Cores[0]
}

func (r *Run) freezeWriter(long time.Duration) {
	c := r.writer()
	c.Store.Signal(syscall.SIGSTOP)
	pause(long)
	c.Store.Signal(syscall.SIGCONT)
}

// many kills nodes with their workers at once and brings them back.
func (r *Run) many(count int, away time.Duration) {
	from := time.Now()
	list := r.Nodes[:count]
	for _, n := range list {
		n.Worker.Kill()
		n.Proxy.End(syscall.SIGKILL, time.Second)
	}
	pause(away)
	for _, n := range list {
		_ = n.Proxy.Start()
		_ = r.StartWorker(n)
	}
	took, ok := r.Until(15*time.Second, r.Whole)
	for _, n := range list {
		r.Obs.Lost(n.Host+":8000", from, time.Now())
	}
	r.Mark("  all whole %.2f s after they came back: %v", took.Seconds(), ok)
}

func (r *Run) wipe(i int) {
	c := r.Cores[i]
	c.Store.End(syscall.SIGKILL, time.Second)
	data := filepath.Join(r.Dir, c.Store.Name+".data")
	if !strings.HasPrefix(data, r.Dir) || os.RemoveAll(data) != nil {
		r.missed = append(r.missed, "the data folder could not be wiped")
	}
	pause(time.Second)
	_ = c.Store.Start()
	took, ok := r.Until(20*time.Second, func() bool {
		code, _ := r.Get("GET", c.Host+":7004", "/puffin/ready", "")
		return code == 200
	})
	r.Mark("  refilled and in its place after %.2f s: %v", took.Seconds(), ok)
	if !ok {
		r.missed = append(r.missed, "the wiped store did not come back")
	}
}

// race sends two changes on one base and a broken one at once.
func (r *Run) race() {
	_, conf := r.Get("GET", r.Nodes[0].Host+":7003", "/puffin/config", "")
	base, _ := conf["version"].(float64)
	var wait sync.WaitGroup
	codes := make([]int, 3)
	for i, doc := range []string{r.S.Doc, r.S.Doc, `{"services":[]}`} {
		wait.Add(1)
		r.g.Go("race", func(context.Context) {
			defer wait.Done()
			code, got := r.Get("PUT", r.Nodes[i*3].Host+":7003", fmt.Sprintf("/puffin/config?emergency=true&who=operator-%d&based_on=%v", i, base), doc)
			codes[i] = code
			if v, _ := got["version"].(float64); code == 200 {
				r.Obs.Acked(uint64(v))
			}
		})
	}
	wait.Wait()
	r.Mark("  answered %v", codes)
	if codes[0]+codes[1] != 200+409 || codes[2] != 422 {
		r.missed = append(r.missed, fmt.Sprintf("racing changes answered %v", codes))
	}
}

func (r *Run) allCore() {
	for _, c := range r.Cores {
		c.Store.End(syscall.SIGKILL, time.Second)
		c.Registry.End(syscall.SIGKILL, time.Second)
	}
	from := time.Now()
	for _, c := range r.Cores {
		_ = c.Store.Start()
		_ = c.Registry.Start()
	}
	_, ok := r.Until(15*time.Second, func() bool {
		code, _ := r.Get("PUT", r.Nodes[1].Host+":7003", "/puffin/keys/probe", `{"value":"x"}`)
		return code == 200
	})
	r.Mark("  a write goes through %.2f s after they came back: %v", time.Since(from).Seconds(), ok)
	if !ok {
		r.missed = append(r.missed, "service did not return in time")
	}
}
