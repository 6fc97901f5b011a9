package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"puffincrank/internal/fleetrun/process"
	"puffincrank/internal/standin/actors"
)

// programs are the kinds of processes.
var programs = []string{"proxy", "registry", "store"}

// holding is what a process holds.
type holding struct {
	files           int // descriptors besides links
	links, routines int
	memory          int64 // bytes that are resident
}

// holdings is the most that any process of each program holds.
type holdings map[string]holding

// holdings looks at all processes.
func (f *fleet) holdings() holdings {
	out := holdings{}
	links := linkSockets()
	note := func(program string, p *process.Process, host string) {
		h, was := look(p.PID(), links), out[program]
		if host != "" {
			h.routines = routines(host)
		}
		out[program] = holding{max(h.files, was.files), max(h.links, was.links), max(h.routines, was.routines), max(h.memory, was.memory)}
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

// look counts what the kernel says of a process; descriptors of links are apart.
func look(id int, links map[string]bool) (h holding) {
	folder := fmt.Sprintf("/proc/%d/fd", id)
	list, _ := os.ReadDir(folder)
	for _, one := range list {
		to, _ := os.Readlink(filepath.Join(folder, one.Name()))
		if links[to] {
			h.links++
		} else {
			h.files++
		}
	}
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", id))
	if fields := strings.Fields(string(raw)); err == nil && len(fields) > 1 {
		pages, _ := strconv.ParseInt(fields[1], 10, 64)
		h.memory = pages * int64(os.Getpagesize())
	}
	return h
}

// linkSockets names the sockets of links between processes of the mesh: those with an
// inner port at either end, but for the ones that listen.
func linkSockets() map[string]bool {
	out := map[string]bool{}
	raw, _ := os.ReadFile("/proc/net/tcp")
	for _, line := range strings.Split(string(raw), "\n")[1:] {
		fields := strings.Fields(line)
		if len(fields) > inodeField && fields[stateField] != listening && (innerPort(fields[1]) || innerPort(fields[2])) {
			out["socket:["+fields[inodeField]+"]"] = true
		}
	}
	return out
}

// The fields of a line of /proc/net/tcp.
const (
	stateField = 3
	inodeField = 9
	listening  = "0A"
)

// innerPort tells whether an address of /proc/net/tcp has an inner port of the mesh.
func innerPort(addr string) bool {
	_, port, _ := strings.Cut(addr, ":")
	n, err := strconv.ParseUint(port, 16, 16)
	return err == nil && (n == 7001 || n == 7002)
}

// routines asks a node for its goroutines.
func routines(host string) int {
	_, raw := actors.Ask(context.Background(), quiet("look").Net, http.MethodGet, host+":7003", "/puffin/own", nil, time.Second)
	var own struct {
		Goroutines int `json:"goroutines"`
	}
	_ = json.Unmarshal(raw, &own)
	return own.Goroutines
}

// What a process may hold after all has come to rest, against the most that one of
// its program held before the load: what it has learned may be more. Links are apart:
// a process keeps one that it dialed to each other and one that each other dialed.
const (
	moreTimes    = 2
	moreFiles    = 40
	moreRoutines = 100
	moreMemory   = 100 << 20
	linksToEach  = 2
	moreLinks    = 10
)

// compare blames what did not come back.
func (f *fleet) compare(before, after holdings) {
	for _, program := range programs {
		a, b := before[program], after[program]
		if b.files > moreTimes*a.files+moreFiles {
			f.blame("%d descriptors of a %s did not come back to %d", b.files, program, a.files)
		}
		if most := linksToEach*(len(f.machines)+2*len(f.cores)) + moreLinks; b.links > most {
			f.blame("%d links of a %s, of %d that there may be", b.links, program, most)
		}
		if b.routines > moreTimes*a.routines+moreRoutines {
			f.blame("%d goroutines of a %s did not come back to %d", b.routines, program, a.routines)
		}
		if b.memory > moreTimes*a.memory+moreMemory {
			f.blame("%d MB of a %s did not come back to %d", b.memory>>20, program, a.memory>>20)
		}
	}
}
