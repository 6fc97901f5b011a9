package sim

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/standin"
)

func rehearsalShape() Shape { return WithAlt(Fumettoteca(0.5)) }

// TestTrials: under load, trials of a good, a failing, a slow and a refusing change
// each end with the right decision, while the machine of the leader and the
// judge is killed and a proxy is restarted. No decision is lost or made twice.
func TestTrials(t *testing.T) {
	skipUnderRace(t)
	page, book := Fumettoteca(0.5), Ingenzi(0.5)
	for i, c := range []struct {
		name, to, want string
		shape          Shape
		slow           float64
		fail           float64
	}{
		{"good pages", "2", "promoted", page, 0.9, 0},
		{"failing pages", "2", "held-back", page, 1, 0.2},
		{"slow pages", "2", "held-back", page, 4, 0},
		{"refusing pages", "nobody", "held-back", page, 1, 0},
		{"good bookings", "2", "promoted", book, 0.9, 0},
		{"failing bookings", "2", "held-back", book, 1, 0.2},
		{"slow bookings", "2", "held-back", book, 4, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := WithAlt(c.shape)
				service := s.Services[0]
				alt := service + "2"
				behaviour := standin.WorkerBehavior{Took: time.Duration(float64(s.ServiceTimes[service]) * c.slow), Fail: c.fail}
				path := map[string]string{"pages": "read", "bookings": "search"}[service]
				to := alt
				if c.to == "nobody" {
					to = "nobody"
				}
				change := fmt.Sprintf(`{"path":%q,"service":%q}`, path, to)
				f := NewFleet(t, s, uint64(i)+60)
				defer f.Stop()
				f.Start()
				f.PollReadiness = true
				for j, n := range f.Nodes {
					if s.ServiceOf(j) == alt {
						n.Worker.SetBehavior(behaviour)
					}
				}
				wait := f.Load(s.Lines, 30*time.Second)
				Wait(2 * time.Second)
				at := f.Nodes[1].Host + ":7003"
				code, got := f.Request("POST", at, "/puffin/trials?based_on=1&who=tester", change)
				if code != 200 {
					t.Fatalf("propose: %d %v", code, got)
				}
				f.Observer.VersionAcked(2)
				if code, got := f.Request("POST", at, "/puffin/trials?based_on=2", change); code != 409 {
					t.Errorf("a second trial on the same route: %d %v", code, got)
				}
				Wait(2 * time.Second)
				leaderMachine := f.markFaulted(f.Leader())
				f.KillControlMachine(leaderMachine, true)
				f.Nodes[3].Proxy.Stop()
				f.StartProxy(f.Nodes[3])
				f.RestartControlMachine(leaderMachine)
				var state any
				took := f.Until(25*time.Second, "the trial has ended", func() bool {
					_, got := f.Get(at, "/puffin/trials/1")
					tr, _ := got["trial"].(map[string]any)
					state = tr["state"]
					return state != nil && state != "running"
				})
				_, end := f.Get(f.ControlMachines[2].Host+":7003", "/puffin/trials/1")
				t.Logf("%v after %v: %v", state, took.Round(time.Millisecond), end["trial"].(map[string]any)["why"])
				if state != c.want {
					t.Errorf("ended %v, want %s: %v", state, c.want, end)
				}
				if figures, _ := end["figures"].([]any); len(figures) != 1 {
					t.Errorf("the figures behind the decision are not kept: %v", end["figures"])
				}
				_, conf := f.Get(at, "/puffin/config")
				doc := fmt.Sprint(conf["document"])
				if conf["version"] != float64(3) || strings.Contains(doc, "trial") || strings.Contains(doc, "service:"+alt+" tries") != (c.want == "promoted") {
					t.Errorf("after the trial the configuration is version %v: %v", conf["version"], doc)
				}
				wait()
				f.CheckInvariants()
			})
		})
	}
}

// TestProposals: invalid proposals are refused with a reason and change nothing; of
// two concurrent proposals one wins; a whole document that moves a live route starts a
// trial; abort ends a trial, and emergency applies a document without one.
func TestProposals(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := rehearsalShape()
		f := NewFleet(t, s, 70)
		defer f.Stop()
		f.Start()
		wait := f.Load(s.Lines, 12*time.Second)
		at := f.Nodes[0].Host + ":7003"
		for _, c := range []struct {
			base int
			body string
			want int
		}{
			{1, `{"path":"nowhere","service":"pages2"}`, 422}, {1, `{"path":"read","service":"none"}`, 422}, {1, `{"path":"read"}`, 422},
			{1, `{"path":"read","service":"pages"}`, 422}, {1, `{"path":"read","slice":80,"service":"pages2"}`, 422}, {1, `{"path":"read","more":1}`, 422},
			{7, `{"path":"read","service":"pages2"}`, 409}, {0, `{"path":"read","service":"pages2"}`, 409}, {1, `{`, 400},
		} {
			if code, got := f.Request("POST", at, fmt.Sprintf("/puffin/trials?based_on=%d", c.base), c.body); code != c.want || got["wrong"] == "" {
				t.Errorf("%d %s: %d %v, want %d", c.base, c.body, code, got, c.want)
			}
		}
		if _, got := f.Get(at, "/puffin/config"); got["version"] != float64(1) {
			t.Fatalf("a refused proposal changed the version to %v", got["version"])
		}
		codes := make(chan int, 2)
		for i := range 2 {
			go func() {
				code, _ := f.Request("POST", f.Nodes[i].Host+":7003", fmt.Sprintf("/puffin/trials?based_on=1&who=operator-%d", i), `{"path":"read","service":"pages2"}`)
				codes <- code
			}()
		}
		if a, b := <-codes, <-codes; a+b != 200+409 {
			t.Errorf("two proposals at once: %d and %d", a, b)
		}
		// A trial on another route may run at the same time.
		if code, got := f.Request("POST", at, "/puffin/trials?based_on=2", `{"path":"lend","left_ms":900}`); code != 200 {
			t.Errorf("a trial on another route: %d %v", code, got)
		}
		if code, _ := f.Request("PUT", at, "/puffin/config?based_on=3", s.Config); code != 409 {
			t.Errorf("a whole document while trials run: %d", code)
		}
		for id, want := range map[int]int{1: 200, 2: 200, 9: 404} {
			if code, got := f.Request("POST", at, fmt.Sprintf("/puffin/trials/%d/abort", id), `{}`); code != want {
				t.Errorf("abort of %d: %d %v", id, code, got)
			}
		}
		if code, _ := f.Request("POST", at, "/puffin/trials/1/abort?who=another", `{}`); code != 409 {
			t.Errorf("a second abort: %d", code)
		}
		Wait(2 * time.Second)
		_, conf := f.Get(at, "/puffin/config")
		base := conf["version"].(float64)
		moved := strings.Replace(s.Config, `"prefix":"/pages","service":"pages"`, `"prefix":"/pages","service":"pages2"`, 1)
		code, got := f.Request("PUT", at, fmt.Sprintf("/puffin/config?based_on=%v", base), moved)
		if code != 200 || got["trial"] == nil {
			t.Errorf("a whole document that moves a live route: %d %v", code, got)
		}
		code, got = f.Request("PUT", at, fmt.Sprintf("/puffin/config?based_on=%v&emergency=true", base+1), moved)
		if code != 200 || got["trial"] != nil {
			t.Errorf("an emergency: %d %v", code, got)
		}
		_, history := f.Get(at, "/puffin/history")
		if !strings.Contains(fmt.Sprint(history), "emergency") {
			t.Errorf("the history does not show the emergency change: %v", history)
		}
		wait()
		f.CheckInvariants()
	})
}
