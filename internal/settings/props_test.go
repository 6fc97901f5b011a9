package settings

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func read(t *testing.T, program string, more map[string]any) (Settings, int) {
	t.Helper()
	in := map[string]any{"node": "n", "area": "a", "inner": "10.0.0.1:1", "outer": "10.0.0.1:2", "seeds": []any{"10.0.0.1:1"}}
	switch program {
	case "proxy":
		in["traffic"] = "10.0.0.1:3"
	case "store":
		in["data"] = "x"
	}
	for k, v := range more {
		if n, ok := v.(int); ok {
			v = json.Number(fmt.Sprint(n))
		}
		in[k] = v
		if v == nil {
			delete(in, k)
		}
	}
	v, bad := Tables[program].Read(in, "")
	p, more2 := FromChecked(v)
	for _, f := range append(bad, more2...) {
		t.Logf("%s: %s", f.Place, f.Message)
	}
	return p, len(bad) + len(more2)
}

// TestDefaults: what was not given is as it ever was.
func TestDefaults(t *testing.T) {
	p, bad := read(t, "store", map[string]any{"outer": nil})
	if bad > 0 || p.APIAddr != "" || p.ReplaceAfter != 8*time.Second || p.RetireAfter != 10*time.Second || p.CatchUpBound != 24*time.Second || !p.MayFound || p.Voters() != 3 {
		t.Errorf("store: %+v", p)
	}
	p, bad = read(t, "proxy", nil)
	if bad > 0 || p.WorkerHeartbeat() != 250*time.Millisecond || p.WorkerTimeout() != 1250*time.Millisecond {
		t.Errorf("proxy: %+v", p)
	}
	if _, bad := read(t, "proxy", map[string]any{"outer": nil}); bad != 1 {
		t.Error("a proxy needs its outer address")
	}
}

// TestTightBounds: the ratios hold for a short time to catch up, and a
// replacement, its writer's lease included, ends within it.
func TestTightBounds(t *testing.T) {
	for _, catch := range []int{4000, 6000} {
		b := map[string]any{"change_ms": 2000, "leave_ms": 2000, "window_ms": 10000, "return_ms": 15000, "history_ms": 20000, "grace_ms": 6000, "touch_ms": 3000, "catch_up_ms": catch, "ack_ms": 4000}
		p, bad := read(t, "store", b)
		if bad > 0 || p.ReplaceAfter*2+p.Lease() > p.CatchUpBound || p.ReplaceAfter <= p.Lease() || p.RetireAfter < 2*p.SessionTTL() {
			t.Errorf("catch up %d: %d faults, replace %v, retire %v", catch, bad, p.ReplaceAfter, p.RetireAfter)
		}
		b["beat_ms"] = 1500
		p, bad = read(t, "proxy", b)
		if bad > 0 || p.WorkerHeartbeat() != 1500*time.Millisecond || p.WorkerTimeout() < 2*p.WorkerHeartbeat()+p.CallTimeout() {
			t.Errorf("a worker that beats each %v is down after %v (%d faults)", p.WorkerHeartbeat(), p.WorkerTimeout(), bad)
		}
	}
}

// TestBoundsAtOdds: whatever the bounds of a deployment are to each other, a
// node starts, and each time that hangs on a bound fits into it.
func TestBoundsAtOdds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := map[string]any{"node": "n", "area": "a", "inner": "10.0.0.1:1", "seeds": []any{"10.0.0.1:1"}, "data": "x"}
		for _, n := range []string{"change_ms", "leave_ms", "touch_ms", "ack_ms", "return_ms", "catch_up_ms", "back_ms", "free_ms", "grace_ms", "window_ms", "history_ms"} {
			least := 1000
			if n == "back_ms" || n == "free_ms" {
				least = 0
			}
			in[n] = json.Number(fmt.Sprint(rapid.IntRange(least, 30000).Draw(t, n)))
		}
		in["return_ms"] = json.Number(fmt.Sprint(rapid.IntRange(4000, 60000).Draw(t, "return")))
		// The beat of a worker is told to proxies only.
		beat := json.Number(fmt.Sprint(rapid.IntRange(200, 2400).Draw(t, "beat")))
		v, bad := Tables["store"].Read(in, "")
		p, more := FromChecked(v)
		if bad = append(bad, more...); len(bad) > 0 {
			t.Fatalf("does not start: %v", bad)
		}
		delete(in, "data")
		in["traffic"], in["outer"], in["beat_ms"] = "10.0.0.1:3", "10.0.0.1:2", beat
		v, bad = Tables["proxy"].Read(in, "")
		x, more := FromChecked(v)
		if bad = append(bad, more...); len(bad) > 0 {
			t.Fatalf("a proxy does not start: %v", bad)
		}
		if x.WorkerTimeout() > x.RecoveryBound || x.WorkerTimeout() < x.ConfiguredHeartbeat*3/2 {
			t.Errorf("a worker that beats each %v is down after %v, return %v", x.ConfiguredHeartbeat, x.WorkerTimeout(), x.RecoveryBound)
		}
		if p.BaseInterval() > p.ConfigBound || p.LeaderTimeout()+p.HeartbeatInterval()*2 > p.ContactTime*2/3 || p.Lease()*3+p.SessionTTL() > p.RecoveryBound || p.ReplaceAfter+p.Lease()+p.CallTimeout()*2 > p.CatchUpBound {
			t.Errorf("pace %v of %+v", p.BaseInterval(), p)
		}
	})
}

// TestFaultyProps: each fault is named once.
func TestFaultyProps(t *testing.T) {
	nine := []any{}
	for i := range 9 {
		nine = append(nine, fmt.Sprintf("10.0.0.%d:1", i+1))
	}
	for _, c := range []struct {
		more map[string]any
		want int
	}{
		{map[string]any{"seeds": nine}, 0},
		{map[string]any{"seeds": append(nine, "10.0.1.1:1")}, 1},
		{map[string]any{"seeds": []any{}}, 1},
		{map[string]any{"seeds": []any{"10.0.0.1:1", "10.0.0.1:1"}}, 1},
		{map[string]any{"catch_up_ms": 2000}, 0},
		{map[string]any{"catch_up_ms": 2000, "replace_ms": 1500}, 1},
		{map[string]any{"catch_up_ms": 400}, 1},
		{map[string]any{"replace_ms": 1100}, 1},
		{map[string]any{"replace_ms": 600000}, 0},
		{map[string]any{"catch_up_ms": 4000, "replace_ms": 3000}, 1},
		{map[string]any{"retire_ms": 3000}, 1},
		{map[string]any{"bear": 101}, 1},
		{map[string]any{"founding": "no"}, 1},
	} {
		if _, bad := read(t, "store", c.more); bad != c.want {
			t.Errorf("%v: %d faults, want %d", c.more, bad, c.want)
		}
	}
	if _, bad := read(t, "proxy", map[string]any{"beat_ms": 11000}); bad != 1 {
		t.Error("a worker that beats each 11 s can't be missed within return_ms")
	}
}

// TestChangedNames: every setting of every program is named when it changes.
func TestChangedNames(t *testing.T) {
	for program, tab := range Tables {
		for _, s := range tab.Fields {
			if _, ok := (Settings{}).names()[s.Name]; !ok {
				t.Errorf("%s: a change of %s would not be named", program, s.Name)
			}
		}
	}
	was, now := Settings{ConfigBound: 1, Seeds: []string{"a"}, MaxRequests: 3}, Settings{ConfigBound: 2, Seeds: []string{"b"}, MaxRequests: 3}
	if got := Changed("proxy", was, now); len(got) != 2 {
		t.Errorf("changed: %v", got)
	}
}

// TestAddresses: a list of addresses is made such that the check of a setting takes
// it, and keeps its order.
func TestAddresses(t *testing.T) {
	many := make([]string, 20)
	for i := range many {
		many[i] = fmt.Sprintf("10.0.0.%d:7001", i/2)
	}
	for _, c := range []struct {
		all  []string
		want int
	}{{[]string{"b:1"}, 1}, {[]string{"b:1", "a:1", "b:1"}, 2}, {many, maxAddresses}} {
		got := Addresses(c.all)
		if len(got) != c.want || got[0] != c.all[0] || some(got) != nil {
			t.Errorf("of %v it lists %v", c.all, got)
		}
	}
}
