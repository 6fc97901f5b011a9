package sim

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
)

// TestBadInput checks that invalid input of workers, applications and operators is refused
// with the name of every invalid field, through a proxy and through a control node, and
// that none of it takes effect.
func TestBadInput(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		shape := smallShape()
		f := NewFleet(t, shape, 47)
		defer f.Stop()
		f.Start()
		nodeAddress := f.Nodes[0].Host + ":7003"
		long := strings.Repeat("x", 5000)
		heartbeat := func(change, to string) string {
			valid := `{"service":"pages","addr":"10.0.1.1:9","slots":4,"state":"up","cold_ms":0,"seq":7}`
			if !strings.Contains(valid, change) {
				t.Fatal(change)
			}
			return strings.Replace(valid, change, to, 1)
		}
		type call struct {
			method, uri, body, want string
			places                  string // invalid fields, all of which must be named
		}
		workerCalls := []call{
			{"PUT", "/workers/w9", `{"more":"` + long + `"}`, "413", ""}, {"PUT", "/workers/w9", "{", "400", ""}, {"PUT", "/workers/w9", "[]", "400", ""},
			{"PUT", "/workers/w9", "", "400", ""}, {"PUT", "/workers/w9", "{}", "422", "service addr slots state"},
			{"PUT", "/workers/w%209", heartbeat(`"slots":4`, `"slots":-1`), "422", "id slots"},
			{"PUT", "/workers/w9", heartbeat(`"10.0.1.1:9"`, `"host:9"`), "422", "addr"}, {"PUT", "/workers/w9", heartbeat(`"up"`, `"well"`), "422", "state"},
			{"PUT", "/workers/w9", heartbeat(`"seq":7`, `"seq":"7"`), "422", "seq"}, {"PUT", "/workers/w9", heartbeat(`"cold_ms":0`, `"cold_ms":-1`), "422", "cold_ms"},
			{"PUT", "/workers/w9", heartbeat(`"slots":4,"state":"up"`, `"slots":4.5`), "422", "slots state"},
		}
		for _, address := range []string{nodeAddress, f.ControlMachines[1].Host + ":7003"} {
			calls := append([]call(nil), workerCalls...)
			if address != nodeAddress {
				calls = nil
			}
			calls = append(calls, []call{
				{"POST", "/app/locks/l", `{"owner":7,"ttl_ms":0}`, "422", "owner ttl_ms"}, {"POST", "/app/locks/l", `{"owner":"a","ttl_ms":1e99}`, "422", "ttl_ms"},
				{"POST", "/app/locks/l", `{"owner":"a","owner":"b","ttl_ms":9}`, "422", "owner"}, {"POST", "/app/locks/l", `nul`, "400", ""},
				{"POST", "/app/locks/l", `{"owner":"` + long + `","ttl_ms":9}`, "422", "owner"}, {"PUT", "/app/locks/l", `{}`, "422", "owner ttl_ms fence"},
				{"PUT", "/app/locks/l", `{"owner":"a","ttl_ms":9,"fence":-1}`, "422", "fence"}, {"DELETE", "/app/locks/l", `{"owner":"a","fence":0}`, "422", "fence"},
				{"POST", "/app/locks/%00", `{"owner":"a","ttl_ms":9}`, "422", ""}, {"POST", "/app/numbers/n", `{`, "400", ""}, {"POST", "/app/numbers/n", `7`, "400", ""},
				{"POST", "/app/numbers/" + long[:200], `{}`, "422", ""}, {"PUT", "/app/keys/g.k", `{}`, "422", "value"}, {"PUT", "/app/keys/g.k", `{"value":7,"if_rev":-1}`, "422", "value if_rev"},
				{"PUT", "/app/keys/g.k", `{"value":"` + strings.Repeat("x", 70<<10) + `"}`, "422", "value"}, {"PUT", "/app/keys/g.k", strings.Repeat("x", 300<<10), "413", ""},
				{"PUT", "/app/keys/g.k", `{"value":"a"} {}`, "400", ""}, {"GET", "/app/watch/g.?after=x", "", "422", ""}, {"GET", "/app/watch/g.?after=-1", "", "422", ""},
				{"PUT", "/config?by=number", `{`, "400", ""}, {"PUT", "/config?by=number", `[]`, "400", ""}, {"PUT", "/config?by=number", `{}`, "422", "version"},
				{"PUT", "/config?by=number", `{"version":9,"services":[{"name":"a"},{"name":"a"}],"paths":[{"name":"p","prefix":"x","service":"b"}]}`, "422", "services[1].name paths[0].prefix paths[0].service"},
			}...)
			for _, c := range calls {
				code, got := f.Request(c.method, address, "/puffin"+c.uri, c.body)
				if fmt.Sprint(code) != c.want {
					t.Errorf("%s %s %.60s: %d %v, want %s", c.method, c.uri, c.body, code, got, c.want)
				}
				for _, place := range strings.Fields(c.places) {
					if !strings.Contains(fmt.Sprint(got["faults"]), place) {
						t.Errorf("%s %s %.60s: %v does not name %s", c.method, c.uri, c.body, got, place)
					}
				}
			}
		}
		// Nothing took effect: the next call of each kind still gets the first value.
		if _, own := f.Get(nodeAddress, "/puffin/own"); own["entries"] != float64(3) || own["config_version"] != float64(1) {
			t.Errorf("an invalid call had an effect: %v", own)
		}
		for _, c := range []struct{ method, uri, body, want string }{
			{"GET", "/keys/g.k", "", "404 "}, {"GET", "/watch/g.", "", `200 {"changes":[],"rev":0}`},
			{"POST", "/locks/l", `{"owner":"z","ttl_ms":900}`, `200 {"fence":1}`}, {"POST", "/numbers/n", "", `200 {"value":1}`},
		} {
			if code, got := f.requestRaw(c.method, nodeAddress, "/puffin/app"+c.uri, c.body); !strings.HasPrefix(fmt.Sprint(code, " ", got), c.want) {
				t.Errorf("after the invalid calls: %s %s: %d %s, want %s", c.method, c.uri, code, got, c.want)
			}
		}
		// An outdated heartbeat changes nothing, a newer one does.
		for _, c := range []struct{ body, slots string }{{heartbeat("7", "7"), "4"}, {heartbeat(`"slots":4,"state":"up","cold_ms":0,"seq":7`, `"slots":6,"state":"up","seq":6`), "4"}, {heartbeat(`"slots":4,"state":"up","cold_ms":0,"seq":7`, `"slots":5,"state":"up","seq":8`), "5"}} {
			code, _ := f.Request("PUT", nodeAddress, "/puffin/workers/w9", c.body)
			_, own := f.Get(nodeAddress, "/puffin/own")
			if !strings.Contains(fmt.Sprint(own["workers"]), "slots:"+c.slots) || code != 200 {
				t.Errorf("%s: %d, %v", c.body, code, own["workers"])
			}
		}
	})
}
