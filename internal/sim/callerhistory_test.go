package sim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"puffincrank/internal/standin"
)

// history is what callers saw of a control plane, by kind of call.
type history struct {
	mu       sync.Mutex
	keys     []standin.Op
	numbers  []standin.HistoryCall
	orders   []standin.HistoryCall
	holds    []lockHold
	answered map[string]int // number of calls with a known outcome by host
}

// lockHold is the time span in which a caller may assume that it holds a lock: from the
// answer until the TTL has passed, counted from when the request was sent.
type lockHold struct {
	owner    string
	fence    float64
	from, to time.Time
}

// callRandomly makes random calls of all kinds to one machine until the context ends.
func (l *coreFleet) callRandomly(ctx context.Context, seen *history, machine *ControlMachine, rnd *rand.Rand, next func() uint64) {
	for i := 0; ctx.Err() == nil; i++ {
		Wait(time.Duration(30+rnd.IntN(100)) * time.Millisecond)
		name := fmt.Sprintf("%s-%d", machine.Host, i)
		switch rnd.IntN(6) {
		case 0:
			l.callKey(seen, machine, name, true)
		case 1:
			l.callKey(seen, machine, name, false)
		case 2:
			l.callNumber(seen, machine)
		case 3:
			l.callOrder(seen, machine, next(), name)
		case 4:
			l.callConfig(seen, machine)
		case 5:
			l.callLock(seen, machine, name)
		}
	}
}

func (h *history) record(machine *ControlMachine, certain bool, add func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if certain {
		h.answered[machine.Host]++
	}
	add()
}

func (l *coreFleet) callKey(seen *history, machine *ControlMachine, value string, write bool) {
	op := standin.Op{Key: "k", Write: write, Value: value, From: time.Now()}
	var code int
	var got map[string]any
	if write {
		code, _ = l.Request("PUT", machine.Host+":7003", "/puffin/keys/k?left_ms=800", fmt.Sprintf(`{"value":%q}`, value))
	} else {
		code, got = l.Get(machine.Host+":7003", "/puffin/keys/k?left_ms=800")
		op.Value, _ = got["value"].(string)
	}
	op.To, op.Unknown = time.Now(), code != 200 && (write || code != 404)
	if code == 503 {
		return
	}
	seen.record(machine, !op.Unknown, func() { seen.keys = append(seen.keys, op) })
}

func (l *coreFleet) callNumber(seen *history, machine *ControlMachine) {
	call := standin.HistoryCall{From: time.Now()}
	code, got := l.Request("POST", machine.Host+":7003", "/puffin/numbers/n/next?left_ms=800", "{}")
	call.To = time.Now()
	number, _ := got["number"].(float64)
	if code != 200 {
		return
	}
	call.Out = uint64(number)
	seen.record(machine, true, func() { seen.numbers = append(seen.numbers, call) })
}

// numberedDoc returns the shape's configuration with a version number. The name of its
// first route identifies the content.
func (l *coreFleet) numberedDoc(number uint64, content string) string {
	doc := strings.Replace(l.Shape.Config, "{", fmt.Sprintf(`{"version":%d,`, number), 1)
	return strings.Replace(doc, `"name":"read"`, fmt.Sprintf(`"name":%q`, content), 1)
}

func (l *coreFleet) callOrder(seen *history, machine *ControlMachine, number uint64, content string) {
	call := standin.HistoryCall{In: standin.ConfigCall{Number: number, Content: content}, From: time.Now()}
	code, _ := l.Request("PUT", machine.Host+":7003", "/puffin/config?by=number&left_ms=800", l.numberedDoc(number, content))
	call.To = time.Now()
	if code == 503 {
		return
	}
	call.Out, call.Unknown = standin.ConfigAnswer{Refused: code == 409}, code != 200 && code != 409
	seen.record(machine, !call.Unknown, func() { seen.orders = append(seen.orders, call) })
}

func (l *coreFleet) callConfig(seen *history, machine *ControlMachine) {
	call := standin.HistoryCall{In: standin.ConfigCall{}, From: time.Now()}
	code, got := l.Get(machine.Host+":7003", "/puffin/config?as=sent&left_ms=800")
	call.To = time.Now()
	if code != 200 && code != 404 {
		return
	}
	answer := standin.ConfigAnswer{}
	if code == 200 {
		version, _ := got["version"].(float64)
		answer.Number = uint64(version)
		paths, _ := got["paths"].([]any)
		first, _ := paths[0].(map[string]any)
		answer.Content, _ = first["name"].(string)
	}
	call.Out = answer
	seen.record(machine, true, func() { seen.orders = append(seen.orders, call) })
}

func (l *coreFleet) callLock(seen *history, machine *ControlMachine, owner string) {
	const ttl = 700 * time.Millisecond
	from := time.Now()
	code, got := l.Request("POST", machine.Host+":7003", "/puffin/locks/x/acquire?left_ms=800", fmt.Sprintf(`{"owner":%q,"ttl_ms":%d}`, owner, ttl.Milliseconds()))
	if code != 200 {
		seen.record(machine, code == 409, func() {})
		return
	}
	fence, _ := got["fence"].(float64)
	hold := lockHold{owner, fence, time.Now(), from.Add(ttl)}
	seen.record(machine, true, func() { seen.holds = append(seen.holds, hold) })
}

// check checks that the history is linearizable and that locks and fencing tokens were
// exclusive.
func (h *history) check(t *testing.T) {
	t.Helper()
	if !standin.LinearizableKey(h.keys) {
		t.Errorf("the history of a key is not linearizable")
	}
	if !standin.Linearizable(standin.NumberModel, h.numbers) {
		t.Errorf("the history of a number is not linearizable")
	}
	if !standin.Linearizable(standin.ConfigModel, h.orders) {
		t.Errorf("the history of the configuration is not linearizable")
	}
	for i, a := range h.holds {
		for _, b := range h.holds[i+1:] {
			if a.owner != b.owner && a.from.Before(b.to) && b.from.Before(a.to) {
				t.Errorf("%s and %s held the same lock at the same time", a.owner, b.owner)
			}
			if a.fence == b.fence && a.owner != b.owner {
				t.Errorf("%s and %s both got the fencing token %v", a.owner, b.owner, a.fence)
			}
		}
	}
}
