package sim

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestOrderSentAgain: an operator's request whose answer was lost is sent again to
// another node, after a change of leader, and after a restart of the whole control
// plane. It gets the first answer each time and takes effect once.
func TestOrderSentAgain(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := rehearsalShape()
		f := NewFleet(t, s, 71)
		defer f.Stop()
		f.Start()
		wait := f.Load(s.Lines, 4*time.Second)
		Wait(2 * time.Second)
		orders := []struct {
			name, method, uri, body string
			answer                  map[string]any
		}{
			{name: "a whole document", method: "PUT", uri: "/puffin/config?based_on=1&emergency=true", body: s.Config},
			{name: "a proposal", method: "POST", uri: "/puffin/trials?based_on=2", body: `{"path":"read","service":"pages2"}`},
			{name: "an abort", method: "POST", uri: "/puffin/trials/1/abort", body: `{}`},
			{name: "a document under a request id", method: "PUT", uri: "/puffin/config?based_on=4&request_id=r1", body: s.Config},
		}
		for i := range orders {
			o := &orders[i]
			code, got := f.Request(o.method, f.Nodes[i].Host+":7003", o.uri, o.body)
			if code != 200 {
				t.Fatalf("%s: %d %v", o.name, code, got)
			}
			o.answer = got
		}
		wait()
		_, before := f.Get(f.Nodes[0].Host+":7003", "/puffin/config")
		resend := func(stage string) {
			for i, o := range orders {
				for _, at := range []string{f.Nodes[i+1].Host, f.ControlMachines[i%3].Host} {
					code, got := f.Request(o.method, at+":7003", o.uri, o.body)
					if code != 200 || fmt.Sprint(got) != fmt.Sprint(o.answer) {
						t.Errorf("%s, sent again %s: %d %v, was %v", o.name, stage, code, got, o.answer)
					}
				}
			}
			if _, now := f.Get(f.Nodes[0].Host+":7003", "/puffin/config"); now["version"] != before["version"] {
				t.Errorf("%s: version %v, was %v", stage, now["version"], before["version"])
			}
		}
		resend("at once")
		leader := f.Leader()
		f.KillControlMachine(leader, true)
		f.Until(5*time.Second, "another leads", func() bool { n := f.Leader(); return n != nil && n != leader })
		f.RestartControlMachine(leader)
		Wait(2 * time.Second)
		resend("to the next leader")
		for _, c := range f.ControlMachines {
			f.KillControlMachine(c, true)
		}
		for _, c := range f.ControlMachines {
			f.RestartControlMachine(c)
		}
		f.Until(8*time.Second, "a store leads", func() bool { return f.Leader() != nil })
		Wait(3 * time.Second)
		resend("after the restart of all")
		if code, got := f.Request("PUT", f.Nodes[0].Host+":7003", "/puffin/config?based_on=5&request_id=r1", s.Config); code != 409 {
			t.Errorf("another content under a request id: %d %v", code, got)
		}
		if code, _ := f.Request("PUT", f.Nodes[0].Host+":7003", "/puffin/config?based_on=5&request_id="+strings.Repeat("x", 65), s.Config); code != 422 {
			t.Errorf("a request id that is too long: %d", code)
		}
		f.CheckInvariants()
	})
}
