package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"puffincrank/internal/fleetrun/process"
	"puffincrank/internal/stand/play"
)

// programs are the kinds of processes.
var programs = []string{"proxy", "registry", "store"}

// holding is what a process holds.
type holding struct {
	files, routines int
	memory          int64 // bytes that are resident
}

// holdings is the most that any process of each program holds.
type holdings map[string]holding

// holdings looks at all processes.
func (f *fleet) holdings() holdings {
	out := holdings{}
	note := func(program string, p *process.Process, host string) {
		h, was := look(p.ID()), out[program]
		if host != "" {
			h.routines = routines(host)
		}
		out[program] = holding{max(h.files, was.files), max(h.routines, was.routines), max(h.memory, was.memory)}
	}
	for _, m := range f.machines {
		note("proxy", m.node, m.host)
	}
	for _, c := range f.cores {
		note("registry", c.registry, "")
		note("store", c.store, "")
	}
	return out
}

// look counts what the kernel says of a process.
func look(id int) (h holding) {
	if list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", id)); err == nil {
		h.files = len(list)
	}
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", id))
	if fields := strings.Fields(string(raw)); err == nil && len(fields) > 1 {
		pages, _ := strconv.ParseInt(fields[1], 10, 64)
		h.memory = pages * int64(os.Getpagesize())
	}
	return h
}

// routines asks a node for its goroutines.
func routines(host string) int {
	_, raw := play.Ask(context.Background(), quiet("look").Net, http.MethodGet, host+":7003", "/puffin/own", nil, time.Second)
	var own struct {
		Goroutines int `json:"goroutines"`
	}
	_ = json.Unmarshal(raw, &own)
	return own.Goroutines
}

// What a process may hold after all has come to rest, against the most that one of
// its program held before the load: what it has learned, and its links, may be more.
const (
	moreTimes    = 2
	moreFiles    = 40
	moreRoutines = 100
	moreMemory   = 100 << 20
)

// compare blames what did not come back.
func (f *fleet) compare(before, after holdings) {
	for _, program := range programs {
		a, b := before[program], after[program]
		if b.files > moreTimes*a.files+moreFiles {
			f.blame("%d descriptors of a %s did not come back to %d", b.files, program, a.files)
		}
		if b.routines > moreTimes*a.routines+moreRoutines {
			f.blame("%d goroutines of a %s did not come back to %d", b.routines, program, a.routines)
		}
		if b.memory > moreTimes*a.memory+moreMemory {
			f.blame("%d MB of a %s did not come back to %d", b.memory>>20, program, a.memory>>20)
		}
	}
}
