package sim

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// clientHold is a period in which a client knew that it held a lock: from the answer
// until the time to live, counted from before the request was sent, ran out.
type clientHold struct {
	lock, client string
	fence        float64
	start, end   time.Time
}

// runLockClients has clients acquire, renew, release and abandon locks, and returns the
// periods in which they held them.
func (f *Fleet) runLockClients(count int, seed uint64, duration time.Duration) []clientHold {
	var mu sync.Mutex
	var holds []clientHold
	var running sync.WaitGroup
	end := time.Now().Add(duration)
	for i := range count {
		running.Add(1)
		go func() {
			defer running.Done()
			rnd := rand.New(rand.NewPCG(seed, uint64(i)))
			client := fmt.Sprint("client", i)
			for time.Now().Before(end) {
				Wait(time.Duration(rnd.IntN(300)) * time.Millisecond)
				lock := fmt.Sprint("l", rnd.IntN(2))
				ask := func(op string, ttl time.Duration, fence float64) (int, float64) {
					addr := f.Nodes[rnd.IntN(len(f.Nodes))].Host + ":7003"
					code, got := f.Request("POST", addr, "/puffin/locks/"+lock+"/"+op+"?left_ms=2500",
						fmt.Sprintf(`{"owner":%q,"ttl_ms":%d,"fence":%.0f}`, client, ttl.Milliseconds(), fence))
					n, _ := got["fence"].(float64)
					return code, n
				}
				ttl := time.Duration(600+rnd.IntN(2000)) * time.Millisecond
				sent := time.Now()
				code, fence := ask("acquire", ttl, 0)
				if code != 200 || time.Since(sent) > ttl {
					continue
				}
				h := clientHold{lock, client, fence, time.Now(), sent.Add(ttl)}
				for range rnd.IntN(3) {
					Wait(time.Duration(rnd.IntN(400)) * time.Millisecond)
					// A renewal may ask for less than the remaining time.
					if sent = time.Now(); sent.After(h.end) {
						break
					}
					ttl = time.Duration(100+rnd.IntN(2000)) * time.Millisecond
					code, _ = ask("renew", ttl, fence)
					if code == 200 && sent.Add(ttl).After(h.end) {
						h.end = sent.Add(ttl)
					}
					if code == 404 || code == 409 {
						h.end = earlier(h.end, time.Now())
					}
				}
				if rnd.IntN(2) == 0 {
					h.end = earlier(h.end, time.Now())
					ask("release", ttl, fence)
				} else {
					// A paused holder releases nothing before its time runs out.
					Wait(time.Until(h.end))
				}
				mu.Lock()
				holds = append(holds, h)
				mu.Unlock()
			}
		}()
	}
	running.Wait()
	return holds
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// TestLockHolders: by the clients' own records no two of them hold one lock at the same
// time, while answers are delayed, outcomes stay unknown, holders fall silent, and the
// leader is paused, killed and cut off.
func TestLockHolders(t *testing.T) {
	t.Parallel()
	for seed := range seeds(2) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := NewFleet(t, smallShape(), seed+330)
				defer f.Stop()
				f.Start()
				rnd := rand.New(rand.NewPCG(seed, 31))
				done := make(chan []clientHold)
				go func() { done <- f.runLockClients(6, seed, 40*time.Second) }()
				for range 7 {
					Wait(time.Duration(1000+rnd.IntN(2500)) * time.Millisecond)
					c := f.Leader()
					if c == nil {
						continue
					}
					outage := time.Duration(500+rnd.IntN(2500)) * time.Millisecond
					switch rnd.IntN(4) {
					case 0:
						f.Net.PauseProcess("store-"+c.Host, true)
						Wait(outage)
						f.Net.PauseProcess("store-"+c.Host, false)
					case 1:
						f.KillControlMachine(c, true)
						Wait(outage)
						f.RestartControlMachine(c)
					case 2:
						f.Net.Isolate(c.Host, true)
						Wait(outage)
						f.Net.Isolate(c.Host, false)
					case 3:
						// Answers to callers are held back on their way.
						for _, n := range f.Nodes {
							f.Net.Cut(n.Host, "10.0.9.9", true)
						}
						Wait(outage)
						for _, n := range f.Nodes {
							f.Net.Cut(n.Host, "10.0.9.9", false)
						}
					}
				}
				holds := <-done
				for i, a := range holds {
					for _, b := range holds[:i] {
						if a.lock == b.lock && a.fence != b.fence && a.start.Before(b.end) && b.start.Before(a.end) {
							t.Errorf("%s held by %s and %s at once for %v", a.lock, a.client, b.client, earlier(a.end, b.end).Sub(a.start))
						}
					}
				}
				if len(holds) < 40 {
					t.Errorf("only %d periods of holding a lock", len(holds))
				}
				t.Logf("%d periods of holding a lock", len(holds))
			})
		})
	}
}

// TestLateRelease: an owner's release is delayed on its way; the owner gives up on it
// and acquires the lock again; then the release arrives. It must free nothing. Found by
// seed 93 of the plans.
func TestLateRelease(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(t, smallShape(), 331)
		defer f.Stop()
		f.Start()
		a, b := f.Nodes[0], f.Nodes[1]
		acquire := func(owner string) (int, float64) {
			code, got := f.Request("POST", a.Host+":7003", "/puffin/locks/l/acquire", `{"owner":"`+owner+`","ttl_ms":20000}`)
			n, _ := got["fence"].(float64)
			return code, n
		}
		code, firstFence := acquire("x")
		if code != 200 {
			t.Fatal(code)
		}
		for _, c := range f.ControlMachines {
			f.Net.Cut(b.Host, c.Host, true)
		}
		go f.Request("POST", b.Host+":7003", "/puffin/locks/l/release?left_ms=9000", fmt.Sprintf(`{"owner":"x","fence":%.0f}`, firstFence))
		Wait(300 * time.Millisecond)
		code, secondFence := acquire("x")
		if code != 200 || secondFence <= firstFence {
			t.Fatalf("acquired again: %d, fence %.0f after %.0f", code, secondFence, firstFence)
		}
		for _, c := range f.ControlMachines {
			f.Net.Cut(b.Host, c.Host, false)
		}
		Wait(time.Second)
		if code, _ := acquire("y"); code != 409 {
			t.Errorf("a late release freed the lock for another: %d", code)
		}
		if code, got := f.Request("POST", a.Host+":7003", "/puffin/locks/l/renew", fmt.Sprintf(`{"owner":"x","fence":%.0f}`, secondFence)); code != 200 {
			t.Errorf("the owner can't renew: %d %v", code, got)
		}
	})
}
