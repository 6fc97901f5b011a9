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

// programs are the programs of the product.
var programs = []string{"proxy", "registry", "store"}

// resourceUsage counts the resources that a process holds.
type resourceUsage struct {
	files             int // file descriptors except those of links
	links, goroutines int
	memory            int64 // resident memory in bytes
}

// usageByProgram has the maximum of each resource over all processes of a program.
type usageByProgram map[string]resourceUsage

// peakUsage reads the resource usage of all processes.
func (f *fleet) peakUsage() usageByProgram {
	out := usageByProgram{}
	links := linkSockets()
	record := func(program string, p *process.Process, host string) {
		usage, previous := processUsage(p.PID(), links), out[program]
		if host != "" {
			usage.goroutines = fetchGoroutines(host)
		}
		out[program] = resourceUsage{max(usage.files, previous.files), max(usage.links, previous.links), max(usage.goroutines, previous.goroutines), max(usage.memory, previous.memory)}
	}
	for _, m := range f.machines {
		record("proxy", m.proxy, m.host)
	}
	for _, c := range f.controlMachines {
		record("registry", c.registry, "")
		record("store", c.store, "")
	}
	return out
}

// processUsage reads a process's usage from the kernel; descriptors of links are counted
// separately.
func processUsage(pid int, links map[string]bool) (usage resourceUsage) {
	folder := fmt.Sprintf("/proc/%d/fd", pid)
	entries, _ := os.ReadDir(folder)
	for _, entry := range entries {
		target, _ := os.Readlink(filepath.Join(folder, entry.Name()))
		if links[target] {
			usage.links++
		} else {
			usage.files++
		}
	}
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if fields := strings.Fields(string(statm)); err == nil && len(fields) > 1 {
		pages, _ := strconv.ParseInt(fields[1], 10, 64)
		usage.memory = pages * int64(os.Getpagesize())
	}
	return usage
}

// linkSockets returns the names of the sockets of links between processes of the cluster:
// those with an internal port at either end, except listening ones.
func linkSockets() map[string]bool {
	out := map[string]bool{}
	table, _ := os.ReadFile("/proc/net/tcp")
	for _, line := range strings.Split(string(table), "\n")[1:] {
		fields := strings.Fields(line)
		if len(fields) > inodeField && fields[stateField] != listenState && (hasInternalPort(fields[1]) || hasInternalPort(fields[2])) {
			out["socket:["+fields[inodeField]+"]"] = true
		}
	}
	return out
}

// Field indexes of a line of /proc/net/tcp, and the state of a listening socket.
const (
	stateField  = 3
	inodeField  = 9
	listenState = "0A"
)

// hasInternalPort returns whether an address of /proc/net/tcp has an internal port of the
// cluster.
func hasInternalPort(addr string) bool {
	_, port, _ := strings.Cut(addr, ":")
	n, err := strconv.ParseUint(port, 16, 16)
	return err == nil && (n == 7001 || n == 7002)
}

// fetchGoroutines requests the number of goroutines of a proxy.
func fetchGoroutines(host string) int {
	_, raw := actors.CallNode(context.Background(), silentEnv("look").Net, http.MethodGet, host+":7003", "/puffin/own", nil, time.Second)
	var status struct {
		Goroutines int `json:"goroutines"`
	}
	_ = json.Unmarshal(raw, &status)
	return status.Goroutines
}

// Limits for the resources of an idle process after the load, relative to the maximum of
// its program before the load; state learned under load may take more. Links have a limit
// of their own: a process keeps one link that it dialed and one that it accepted per peer.
const (
	maxGrowthFactor = 2
	extraFiles      = 40
	extraGoroutines = 100
	extraMemory     = 100 << 20
	linksPerPeer    = 2
	extraLinks      = 10
)

// compareUsage reports resources that were not released.
func (f *fleet) compareUsage(before, after usageByProgram) {
	for _, program := range programs {
		a, b := before[program], after[program]
		if b.files > maxGrowthFactor*a.files+extraFiles {
			f.reportViolation("%d descriptors of a %s did not come back to %d", b.files, program, a.files)
		}
		if limit := linksPerPeer*(len(f.machines)+2*len(f.controlMachines)) + extraLinks; b.links > limit {
			f.reportViolation("%d links of a %s, of %d that there may be", b.links, program, limit)
		}
		if b.goroutines > maxGrowthFactor*a.goroutines+extraGoroutines {
			f.reportViolation("%d goroutines of a %s did not come back to %d", b.goroutines, program, a.goroutines)
		}
		if b.memory > maxGrowthFactor*a.memory+extraMemory {
			f.reportViolation("%d MB of a %s did not come back to %d", b.memory>>20, program, a.memory>>20)
		}
	}
}
