package sim

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/statemachine"
)

// numberRace is a race of documents that are sent under one version number.
type numberRace struct {
	f      *Fleet
	rnd    *rand.Rand
	number uint64
}

// content returns one of the documents that are sent under the number.
func (r *numberRace) content(i int) string {
	doc := strings.Replace(r.f.Shape.Config, "{", fmt.Sprintf(`{"version":%d,`, r.number), 1)
	return strings.Replace(doc, `"left_ms":1000`, fmt.Sprintf(`"left_ms":%d`, 1000+i), 1)
}

// sendUntilCertain sends a document to random nodes until its outcome is certain.
func (r *numberRace) sendUntilCertain(i int, hosts []string) (codes []int) {
	for range 12 {
		code, _ := r.f.Request("PUT", hosts[r.rnd.IntN(len(hosts))]+":7003", "/puffin/config?by=number&left_ms=1500", r.content(i))
		codes = append(codes, code)
		if code == 200 || code == 409 {
			return codes
		}
		Wait(200 * time.Millisecond)
	}
	return codes
}

// TestNumberRaces: eight senders send four documents under one version number to all
// nodes at once. Each document is sent again after its answer, in any order, while the
// leader is killed or paused for 3 s, or all stores are restarted. Exactly one document
// is confirmed; it is the one in force and read back, and no other is ever confirmed.
func TestNumberRaces(t *testing.T) {
	t.Parallel()
	for seed := range seeds(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := Fumettoteca(0.1)
				f := NewFleet(t, s, seed+860)
				f.Settings = tightBounds
				defer f.Stop()
				f.Start()
				var hosts []string
				for _, n := range f.Nodes {
					hosts = append(hosts, n.Host)
				}
				for _, c := range f.ControlMachines {
					hosts = append(hosts, c.Host)
				}
				number := uint64(10)
				for round := range 4 {
					number += uint64(1 + round)
					f.raceWithFault(t, seed*10+uint64(round), number, hosts, round)
				}
			})
		})
	}
}

func (f *Fleet) raceWithFault(t *testing.T, seed, number uint64, hosts []string, fault int) {
	const contents, senders = 4, 8
	r := &numberRace{f: f, number: number, rnd: rand.New(rand.NewPCG(seed, number))}
	type outcome struct {
		content int
		codes   []int
	}
	done := make(chan outcome, senders)
	for i := range senders {
		sender := &numberRace{f: f, number: number, rnd: rand.New(rand.NewPCG(seed, uint64(i)))}
		go func() {
			Wait(time.Duration(sender.rnd.IntN(40)) * time.Millisecond)
			done <- outcome{i % contents, sender.sendUntilCertain(i%contents, hosts)}
		}()
	}
	Wait(time.Duration(10+r.rnd.IntN(30)) * time.Millisecond)
	f.injectRaceFault(fault)
	confirmed, refused := map[int]bool{}, map[int]bool{}
	for range senders {
		result := <-done
		for _, code := range result.codes {
			confirmed[result.content] = confirmed[result.content] || code == 200
			refused[result.content] = refused[result.content] || code == 409
		}
	}
	Wait(4 * time.Second)
	if len(confirmed) == 0 || countTrue(confirmed) != 1 {
		t.Errorf("seed %d, number %d, fault %d: confirmed contents %v", seed, number, fault, confirmed)
	}
	for i := range contents {
		if confirmed[i] && refused[i] {
			t.Errorf("seed %d, number %d: content %d was confirmed and refused", seed, number, i)
		}
		// The document is sent again, to any node and in any order.
		want := 409
		if confirmed[i] {
			want = 200
		}
		code, _ := f.Request("PUT", hosts[r.rnd.IntN(len(hosts))]+":7003", "/puffin/config?by=number", r.content(i))
		if code != want {
			t.Errorf("seed %d, number %d: content %d sent again: %d, want %d", seed, number, i, code, want)
		}
		if confirmed[i] {
			f.checkReadBack(t, hosts, r.content(i))
		}
	}
}

// injectRaceFault disturbs the control plane in the middle of a race.
func (f *Fleet) injectRaceFault(kind int) {
	leader := f.Leader()
	if leader == nil {
		return
	}
	switch kind {
	case 1:
		f.KillControlMachine(leader, true)
		Wait(time.Second)
		f.RestartControlMachine(leader)
	case 2:
		f.Net.PauseProcess("store-"+leader.Host, true)
		Wait(3 * time.Second)
		f.Net.PauseProcess("store-"+leader.Host, false)
	case 3:
		for _, c := range f.ControlMachines {
			f.KillControlMachine(c, true)
		}
		Wait(200 * time.Millisecond)
		for _, c := range f.ControlMachines {
			f.RestartControlMachine(c)
		}
	}
}

// checkReadBack fails the test unless every node that answers returns this document,
// and all but one of them answer.
func (f *Fleet) checkReadBack(t *testing.T, hosts []string, doc string) {
	t.Helper()
	answered := 0
	for _, host := range hosts {
		code, got := f.Get(host+":7003", "/puffin/config?as=sent&left_ms=2000")
		if code != 200 {
			continue
		}
		answered++
		if !sameJSON(doc, got) {
			t.Errorf("%s reads back another document", host)
		}
	}
	if answered < len(hosts)-1 {
		t.Errorf("only %d of %d nodes read it back", answered, len(hosts))
	}
}

func countTrue(set map[int]bool) (n int) {
	for _, value := range set {
		if value {
			n++
		}
	}
	return n
}

// sameJSON reports whether an answer equals a document, whatever the order of fields.
func sameJSON(doc string, got map[string]any) bool {
	raw, err := json.Marshal(got)
	return err == nil && bytes.Equal(statemachine.DocumentDigest([]byte(doc)), statemachine.DocumentDigest(raw))
}
