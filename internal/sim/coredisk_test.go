package sim

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// diskFaults are the ways in which a disk falls ill, and gets well again.
var diskFaults = []struct {
	name     string
	do, undo func(d *Disk)
}{
	{"hangs", func(d *Disk) { d.Hang("", true) }, func(d *Disk) { d.Hang("", false) }},
	{"hangs at a checkpoint", func(d *Disk) { d.Hang("c-", true) }, func(d *Disk) { d.Hang("", false) }},
	{"slow", func(d *Disk) { d.Slow(700 * time.Millisecond) }, func(d *Disk) { d.Slow(2 * time.Millisecond) }},
	{"full", func(d *Disk) { d.Room(10) }, func(d *Disk) { d.Room(-1) }},
	{"refuses", func(d *Disk) { d.Deny(true) }, func(d *Disk) { d.Deny(false) }},
}

// gaps writes on for a time and gives the longest span without an
// acknowledgement, and how many came.
func (l *lab) gaps(long time.Duration) (worst time.Duration, n int) {
	for from := time.Now(); time.Since(from) < long; n++ {
		worst = max(worst, l.next(5*time.Second))
	}
	return worst, n
}

// ails picks the writer, when it is to be among them, and followers.
func (l *lab) ails(many int, writer bool) (out []*Core) {
	w := l.mark(l.Writer())
	if writer {
		out = append(out, w)
	}
	for _, c := range l.Cores {
		if c != w && len(out) < many {
			out = append(out, c)
		}
	}
	return out
}

// TestDiskIll: the disks of as many machines as the core is to bear hang, are
// slow, full or refuse, the writer's among them or not. At a writer's it costs
// a quarter of change_ms at the most, at a follower's nothing; whoever is
// ill says so, and is well again with its disk. Power lost everywhere at the
// end shows that nothing was acknowledged that was not synced.
func TestDiskIll(t *testing.T) {
	heavy(t)
	for i, c := range diskFaults {
		for _, k := range []struct {
			cores, many int
			writer      bool
		}{{3, 1, true}, {3, 1, false}, {5, 1, true}, {5, 2, true}, {5, 2, false}} {
			t.Run(fmt.Sprintf("%s, %d of %d, writer %v", c.name, k.many, k.cores, k.writer), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					l := newLab(t, uint64(700+i), k.cores, k.cores/2)
					defer l.Stop()
					l.from = time.Now()
					l.up()
					l.Stores["founding"] = false
					l.Until(4*time.Second, "all places are taken", func() bool { return l.settled(k.cores) })
					// Some hundred versions, so that a checkpoint falls due in the fault.
					kept := l.marks(20)
					l.gaps(2 * time.Second)
					ill := l.ails(k.many, k.writer)
					for _, m := range ill {
						c.do(m.Disk)
					}
					worst, n := l.gaps(6 * time.Second)
					t.Logf("%d writes, the longest gap %v", n, worst.Round(time.Millisecond))
					bound := 150 * time.Millisecond
					if k.writer {
						bound = 500 * time.Millisecond
					}
					if worst > bound {
						t.Errorf("no write for %v", worst)
						l.tell(t, 9*time.Second)
					}
					for key, rev := range l.marks(20) {
						kept[key] = rev
					}
					for _, m := range ill {
						c.undo(m.Disk)
					}
					l.Until(6*time.Second, "all stores are well", func() bool { return l.settled(k.cores) })
					l.next(2 * time.Second)
					for _, m := range l.Cores {
						l.KillCore(m, true)
					}
					for _, m := range l.Cores {
						l.BackCore(m)
					}
					l.next(10 * time.Second)
					l.holds(kept)
				})
			})
		}
	}
}

// TestFullDiskFreed: a disk that is full and stays so is freed by a checkpoint,
// for which room was kept; the store has no need of anybody.
func TestFullDiskFreed(t *testing.T) {
	heavy(t)
	synctest.Test(t, func(t *testing.T) {
		l := newLab(t, 720, 3, 1)
		defer l.Stop()
		l.from = time.Now()
		l.up()
		l.gaps(8 * time.Second)
		w := l.mark(l.Writer())
		w.Disk.Room(10)
		worst, _ := l.gaps(3 * time.Second)
		l.Until(8*time.Second, "the full disk is well again", func() bool { return l.coreReady() && len(l.places()) == 3 })
		t.Logf("the longest gap %v", worst.Round(time.Millisecond))
		if code, got := l.Get(w.Host+":7004", "/puffin/ready"); code != 200 || got["disk_ill"] == true {
			t.Errorf("the full one says %v", got)
			l.tell(t, 12*time.Second)
		}
	})
}
