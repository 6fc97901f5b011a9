package settings

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func readSettings(t *testing.T, program string, overrides map[string]any) (Settings, int) {
	t.Helper()
	values := map[string]any{"node": "n", "area": "a", "inner": "10.0.0.1:1", "outer": "10.0.0.1:2", "seeds": []any{"10.0.0.1:1"}}
	switch program {
	case "proxy":
		values["traffic"] = "10.0.0.1:3"
	case "store":
		values["data"] = "x"
	}
	for name, value := range overrides {
		if n, ok := value.(int); ok {
			value = json.Number(fmt.Sprint(n))
		}
		values[name] = value
		if value == nil {
			delete(values, name)
		}
	}
	checked, problems := Tables[program].Read(values, "")
	settings, derived := FromChecked(checked)
	for _, problem := range append(problems, derived...) {
		t.Logf("%s: %s", problem.Place, problem.Message)
	}
	return settings, len(problems) + len(derived)
}

// TestDefaults checks the values of settings that are not given.
func TestDefaults(t *testing.T) {
	p, problems := readSettings(t, "store", map[string]any{"outer": nil})
	if problems > 0 || p.APIAddr != "" || p.ReplaceAfter != 8*time.Second || p.RetireAfter != 10*time.Second || p.CatchUpBound != 24*time.Second || !p.MayFound || p.Voters() != 3 {
		t.Errorf("store: %+v", p)
	}
	p, problems = readSettings(t, "proxy", nil)
	if problems > 0 || p.WorkerHeartbeat() != 250*time.Millisecond || p.WorkerTimeout() != 1250*time.Millisecond {
		t.Errorf("proxy: %+v", p)
	}
	if _, problems := readSettings(t, "proxy", map[string]any{"outer": nil}); problems != 1 {
		t.Error("a proxy without an outer address was accepted")
	}
}

// TestTightBounds checks that the derived times fit into a short catch_up_ms, and that a
// replacement ends within it, the leader's lease included.
func TestTightBounds(t *testing.T) {
	for _, catchUp := range []int{4000, 6000} {
		bounds := map[string]any{"change_ms": 2000, "leave_ms": 2000, "window_ms": 10000, "return_ms": 15000, "history_ms": 20000, "grace_ms": 6000, "touch_ms": 3000, "catch_up_ms": catchUp, "ack_ms": 4000}
		p, problems := readSettings(t, "store", bounds)
		if problems > 0 || p.ReplaceAfter*2+p.Lease() > p.CatchUpBound || p.ReplaceAfter <= p.Lease() || p.RetireAfter < 2*p.SessionTTL() {
			t.Errorf("catch_up_ms %d: %d problems, replace after %v, retire after %v", catchUp, problems, p.ReplaceAfter, p.RetireAfter)
		}
		bounds["beat_ms"] = 1500
		p, problems = readSettings(t, "proxy", bounds)
		if problems > 0 || p.WorkerHeartbeat() != 1500*time.Millisecond || p.WorkerTimeout() < 2*p.WorkerHeartbeat()+p.CallTimeout() {
			t.Errorf("a worker with a heartbeat every %v is down after %v (%d problems)", p.WorkerHeartbeat(), p.WorkerTimeout(), problems)
		}
	}
}

// TestIndependentBounds checks that a node starts with any combination of bounds and that each
// derived time fits into its bound.
func TestIndependentBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		values := map[string]any{"node": "n", "area": "a", "inner": "10.0.0.1:1", "seeds": []any{"10.0.0.1:1"}, "data": "x"}
		for _, n := range []string{"change_ms", "leave_ms", "touch_ms", "ack_ms", "return_ms", "catch_up_ms", "back_ms", "free_ms", "grace_ms", "window_ms", "history_ms"} {
			least := 1000
			if n == "back_ms" || n == "free_ms" {
				least = 0
			}
			values[n] = json.Number(fmt.Sprint(rapid.IntRange(least, 30000).Draw(t, n)))
		}
		values["return_ms"] = json.Number(fmt.Sprint(rapid.IntRange(4000, 60000).Draw(t, "return")))
		// Only proxies have the setting for the worker's heartbeat.
		heartbeat := json.Number(fmt.Sprint(rapid.IntRange(200, 2400).Draw(t, "beat")))
		checked, problems := Tables["store"].Read(values, "")
		store, derived := FromChecked(checked)
		if problems = append(problems, derived...); len(problems) > 0 {
			t.Fatalf("a store does not start: %v", problems)
		}
		delete(values, "data")
		values["traffic"], values["outer"], values["beat_ms"] = "10.0.0.1:3", "10.0.0.1:2", heartbeat
		checked, problems = Tables["proxy"].Read(values, "")
		proxy, derived := FromChecked(checked)
		if problems = append(problems, derived...); len(problems) > 0 {
			t.Fatalf("a proxy does not start: %v", problems)
		}
		if proxy.WorkerTimeout() > proxy.RecoveryBound || proxy.WorkerTimeout() < proxy.ConfiguredHeartbeat*3/2 {
			t.Errorf("a worker with a heartbeat every %v is down after %v, recovery bound %v", proxy.ConfiguredHeartbeat, proxy.WorkerTimeout(), proxy.RecoveryBound)
		}
		if store.BaseInterval() > store.ConfigBound || store.LeaderTimeout()+store.HeartbeatInterval()*2 > store.ContactTime*2/3 || store.Lease()*3+store.SessionTTL() > store.RecoveryBound || store.ReplaceAfter+store.Lease()+store.CallTimeout()*2 > store.CatchUpBound {
			t.Errorf("base interval %v of %+v", store.BaseInterval(), store)
		}
	})
}

// TestInvalidSettings checks that each problem is reported once.
func TestInvalidSettings(t *testing.T) {
	nine := []any{}
	for i := range 9 {
		nine = append(nine, fmt.Sprintf("10.0.0.%d:1", i+1))
	}
	for _, c := range []struct {
		overrides map[string]any
		want      int
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
		if _, problems := readSettings(t, "store", c.overrides); problems != c.want {
			t.Errorf("%v: %d problems, want %d", c.overrides, problems, c.want)
		}
	}
	if _, problems := readSettings(t, "proxy", map[string]any{"beat_ms": 11000}); problems != 1 {
		t.Error("a heartbeat every 11 s was accepted, too slow to detect a lost worker within return_ms")
	}
}

// TestChangedNames checks that a change of any setting of any program is reported.
func TestChangedNames(t *testing.T) {
	for program, table := range Tables {
		for _, field := range table.Fields {
			if _, ok := (Settings{}).valuesByName()[field.Name]; !ok {
				t.Errorf("%s: a change of %s would not be reported", program, field.Name)
			}
		}
	}
	before, after := Settings{ConfigBound: 1, Seeds: []string{"a"}, MaxRequests: 3}, Settings{ConfigBound: 2, Seeds: []string{"b"}, MaxRequests: 3}
	if got := Changed("proxy", before, after); len(got) != 2 {
		t.Errorf("changed: %v", got)
	}
}

// TestAddresses checks that the returned list is valid for a setting and begins with the first
// address given.
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
		if len(got) != c.want || got[0] != c.all[0] || checkAddressList(got) != nil {
			t.Errorf("Addresses of %v returned %v", c.all, got)
		}
	}
}
