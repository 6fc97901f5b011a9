package hollow

import (
	"runtime"
	"sync"
	"syscall"
	"time"
	"unsafe"

	"puffincrank/internal/wire"
)

// Work is what takers of one kind cost.
type Work struct {
	Runs int64
	CPU  time.Duration
}

// worked gathers the processor time of takers by role and kind.
type worked struct {
	mu  sync.Mutex
	all map[string]Work
}

var work worked

// thread gives the processor time of this thread; the clocks of package time
// stand still in virtual time.
func thread() time.Duration {
	const threadClock = 3 // CLOCK_THREAD_CPUTIME_ID
	var ts syscall.Timespec
	_, _, _ = syscall.Syscall(syscall.SYS_CLOCK_GETTIME, threadClock, uintptr(unsafe.Pointer(&ts)), 0)
	return time.Duration(ts.Nano())
}

// process gives the processor time of this process.
func process() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func (m *Mesh) watch(role, kind string, run func()) {
	// Those that wait for others would hold a thread each.
	// Of the others one in sixteen is measured, since the clock costs too.
	if kind == "store.read" || kind == "store.offer" || kind == "outer.call" || m.turn.Add(1)%16 != 0 {
		run()
		return
	}
	runtime.LockOSThread()
	from := thread()
	run()
	took := thread() - from
	runtime.UnlockOSThread()
	k := role + " " + kind
	work.mu.Lock()
	if work.all == nil {
		work.all = map[string]Work{}
	}
	w := work.all[k]
	w.Runs++
	w.CPU += took
	work.all[k] = w
	work.mu.Unlock()
}

// Shot is all counts at one moment.
type Shot struct {
	At    time.Time
	CPU   time.Duration
	Sent  map[string]map[wire.Flow]wire.Sum // by role
	Heard map[string]int64                  // bytes that came in, by role
	Work  map[string]Work
}

// keep adds up what a process that ends has sent.
func (m *Mesh) keep(n *wire.Node) {
	m.mu.Lock()
	defer m.mu.Unlock()
	addUp(m.gone, n)
	m.goneIn[n.Self.Role] += n.Heard()
}

func addUp(into map[string]map[wire.Flow]wire.Sum, n *wire.Node) {
	by := into[n.Self.Role]
	if by == nil {
		by = map[wire.Flow]wire.Sum{}
		into[n.Self.Role] = by
	}
	for k, s := range n.Sizes() {
		t := by[k]
		t.Frames += s.Frames
		t.Bytes += s.Bytes
		by[k] = t
	}
}

// Shoot takes the counts of now.
func (m *Mesh) Shoot() Shot {
	s := Shot{At: time.Now(), CPU: process(), Sent: map[string]map[wire.Flow]wire.Sum{}, Heard: map[string]int64{}, Work: map[string]Work{}}
	for role, by := range m.gone {
		s.Sent[role] = map[wire.Flow]wire.Sum{}
		for k, v := range by {
			s.Sent[role][k] = v
		}
	}
	for role, n := range m.goneIn {
		s.Heard[role] = n
	}
	for _, n := range m.road.Nodes() {
		addUp(s.Sent, n)
		s.Heard[n.Self.Role] += n.Heard()
	}
	work.mu.Lock()
	for k, w := range work.all {
		s.Work[k] = w
	}
	work.mu.Unlock()
	return s
}

// Less gives what came between an earlier shot and this one.
func (s Shot) Less(o Shot) Shot {
	d := Shot{At: s.At, CPU: s.CPU - o.CPU, Sent: map[string]map[wire.Flow]wire.Sum{}, Heard: map[string]int64{}, Work: map[string]Work{}}
	for role, by := range s.Sent {
		d.Sent[role] = map[wire.Flow]wire.Sum{}
		for k, v := range by {
			was := o.Sent[role][k]
			if v.Frames > was.Frames {
				d.Sent[role][k] = wire.Sum{Frames: v.Frames - was.Frames, Bytes: v.Bytes - was.Bytes}
			}
		}
	}
	for role, n := range s.Heard {
		d.Heard[role] = n - o.Heard[role]
	}
	for k, w := range s.Work {
		d.Work[k] = Work{w.Runs - o.Work[k].Runs, w.CPU - o.Work[k].CPU}
	}
	return d
}

// Sum gives the frames and bytes that a role sent, of the kinds named or all.
func (s Shot) Sum(role string, kinds ...string) wire.Sum {
	var t wire.Sum
	for k, v := range s.Sent[role] {
		ok := len(kinds) == 0
		for _, n := range kinds {
			ok = ok || k.Kind == n
		}
		if ok {
			t.Frames += v.Frames
			t.Bytes += v.Bytes
		}
	}
	return t
}

// refills gives the bytes of all refills.
func (s Shot) refills() (t wire.Sum) {
	for role := range s.Sent {
		n := s.Sum(role, "replica.fill", "replica.all")
		t.Frames, t.Bytes = t.Frames+n.Frames, t.Bytes+n.Bytes
	}
	return t
}
