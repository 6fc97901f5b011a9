package sim

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// fleetPartitions are the ways in which one machine of the core is cut off from others.
var fleetPartitions = []struct {
	name string
	do   func(f *Fleet, c *Core, others []string, on bool)
}{
	{"from everybody", func(f *Fleet, c *Core, _ []string, on bool) { f.Net.Isolate(c.Host, on) }},
	{"from the core, not from nodes", func(f *Fleet, c *Core, others []string, on bool) { f.Net.Part(c.Host, others, on) }},
	{"on its way out to the core", func(f *Fleet, c *Core, others []string, on bool) {
		for _, o := range others {
			f.Net.Cut(c.Host, o, on)
		}
	}},
	{"on its way in from the core", func(f *Fleet, c *Core, others []string, on bool) {
		for _, o := range others {
			f.Net.Cut(o, c.Host, on)
		}
	}},
}

// TestCutFleet: a machine of the core is cut off for 20 s in a whole mesh. Its
// nodes go on with others, orders go on everywhere, a worker leaves and another
// starts meanwhile. Nobody reads a configuration older than one that was confirmed
// before, no node acts on an older one beyond the bound, no call reaches the worker
// that left, and callers are served.
func TestCutFleet(t *testing.T) {
	heavy(t)
	shapes := []Shape{Fumettoteca(0.08), Ingenzi(0.12)}
	for i, cut := range fleetPartitions {
		for _, cores := range []int{3, 5} {
			for _, leads := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, %d, leader %v", cut.name, cores, leads), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						fleet := fleetOfCores(t, shapes[i%len(shapes)], uint64(980+i), cores)
						defer fleet.Stop()
						runFleetPartition(fleet, leads, uint64(i), cut.do)
					})
				})
			}
		}
	}
}

// fleetOfCores is a fleet whose core has so many machines, all of which vote.
func fleetOfCores(t *testing.T, shape Shape, seed uint64, cores int) *Fleet {
	fleet := NewFleet(t, shape, seed)
	fleet.Stores = map[string]any{"bear": json.Number(fmt.Sprint((cores - 1) / 2))}
	for i := len(fleet.Cores); i < cores; i++ {
		fleet.Cores = append(fleet.Cores, &Core{Host: fmt.Sprintf("10.0.0.%d", i+1), Area: Areas[i%3], Disk: NewDisk()})
		fleet.seedAt = append(fleet.seedAt, fleet.Cores[i].Host)
	}
	return fleet
}

func runFleetPartition(fleet *Fleet, cutLeader bool, seed uint64, cut func(*Fleet, *Core, []string, bool)) {
	fleet.Start()
	clients := &operators{fleet: fleet, rnd: rand.New(rand.NewPCG(seed, 11)), confirmed: 1, version: 1}
	target := fleet.Writer()
	for _, c := range fleet.Cores {
		if !cutLeader && c != target {
			target = c
			break
		}
	}
	var others []string
	for _, c := range fleet.Cores {
		if c != target {
			others = append(others, c.Host)
		}
	}
	clients.cutHost = target.Host
	ctx, cancel := context.WithCancel(fleet.g.Context())
	var pending sync.WaitGroup
	pending.Go(func() { clients.sendChanges(ctx) })
	for range 4 {
		pending.Go(func() { clients.readConfig(ctx) })
	}
	waitForLoad := fleet.Load(fleet.S.Lines, 29*time.Second)
	Wait(2 * time.Second)
	cut(fleet, target, others, true)
	Wait(6 * time.Second)
	fleet.Nodes[1].Worker.Leave("gone")
	Wait(4 * time.Second)
	fleet.KillWorker(fleet.Nodes[1])
	fleet.StartWorker(fleet.Nodes[1], fleet.S.Serves(1))
	Wait(10 * time.Second)
	cut(fleet, target, others, false)
	Wait(5 * time.Second)
	cancel()
	pending.Wait()
	waitForLoad()
	fleet.Judge()
	clients.check(target)
}

// operators send orders to the whole mesh, one after another, and read back.
type operators struct {
	fleet *Fleet
	rnd   *rand.Rand

	mu             sync.Mutex
	confirmed      uint64 // the newest version that was confirmed
	version        uint64 // that the next order is based on
	confirmedCount int    // orders confirmed
	attempts       int    // times that one was sent to a machine that is not cut off
	cutHost        string // the host that is
	answered       map[string]int
	staleReads     []string
}

// addresses lists the machines that answer operators.
func (o *operators) addresses() (all []string) {
	for _, c := range o.fleet.Cores {
		all = append(all, c.Host+":7003")
	}
	for _, n := range o.fleet.Nodes {
		all = append(all, n.Host+":7003")
	}
	return all
}

func (o *operators) anyAddress() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	addresses := o.addresses()
	return addresses[o.rnd.IntN(len(addresses))]
}

// sendChanges sends changes until the context ends; one whose answer is lost is sent
// again elsewhere until it is known what became of it.
func (o *operators) sendChanges(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		Wait(300 * time.Millisecond)
		for ctx.Err() == nil {
			address := o.anyAddress()
			if host(address) != o.cutHost {
				o.attempts++
			}
			code, answer := o.fleet.Ask("PUT", address, fmt.Sprintf("/puffin/config?based_on=%d&who=operator-%d&left_ms=900", o.version, i), o.fleet.S.Doc)
			if code == 200 {
				version, _ := answer["version"].(float64)
				o.confirm(uint64(version))
				break
			}
			if code == 409 || code == 422 {
				o.fleet.T.Errorf("the one operator's order on %d was answered %d %v", o.version, code, answer)
				return
			}
		}
	}
}

func (o *operators) confirm(version uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fleet.Obs.Acked(version)
	if version != o.version+1 {
		o.fleet.T.Errorf("version %d was confirmed after %d", version, o.version)
	}
	o.version, o.confirmed = version, version
	o.confirmedCount++
}

// readConfig asks for the configuration until the context ends.
func (o *operators) readConfig(ctx context.Context) {
	for ctx.Err() == nil {
		Wait(70 * time.Millisecond)
		address := o.anyAddress()
		o.mu.Lock()
		minimum := o.confirmed
		o.mu.Unlock()
		code, answer := o.fleet.Get(address, "/puffin/config?left_ms=700")
		if code != 200 {
			continue
		}
		o.mu.Lock()
		if o.answered == nil {
			o.answered = map[string]int{}
		}
		o.answered[address]++
		if version, _ := answer["version"].(float64); uint64(version) < minimum {
			o.staleReads = append(o.staleReads, fmt.Sprintf("%s gave %v after %d was confirmed", address, version, minimum))
		}
		o.mu.Unlock()
	}
}

// check checks what the operators saw, with a machine cut off for most of it.
func (o *operators) check(cut *Core) {
	t := o.fleet.T
	for _, s := range o.staleReads {
		t.Errorf("an old configuration was read: %s", s)
	}
	// How many there are hangs on how often the silent machine was asked, which
	// costs the caller its whole patience; of the tries elsewhere most succeed.
	if o.confirmedCount < 10 || 4*o.confirmedCount < 3*o.attempts {
		t.Errorf("%d orders were confirmed by %d tries at machines in touch", o.confirmedCount, o.attempts)
	}
	for _, at := range o.addresses() {
		if o.answered[at] < 10 && host(at) != cut.Host {
			t.Errorf("%s answered only %d reads", at, o.answered[at])
		}
	}
	counts := o.fleet.Obs.Counts()
	if counts["done"]*100 < counts["calls"]*99 {
		t.Errorf("%d of %d calls were done", counts["done"], counts["calls"])
	}
	t.Logf("%d orders by %d tries, %d answers of the machine that was cut off", o.confirmedCount, o.attempts, o.answered[cut.Host+":7003"])
}
