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

// history is what callers saw of a core, by kind of call.
type history struct {
	mu       sync.Mutex
	keys     []standin.Op
	numbers  []standin.HistoryCall
	orders   []standin.HistoryCall
	holds    []lockHold
	answered map[string]int // address to calls with a certain outcome
}

// lockHold is a lock as its holder counts it: from the answer until its time is over,
// counted from when it asked.
type lockHold struct {
	owner    string
	fence    float64
	from, to time.Time
}

// asks makes calls of all kinds at one machine until the context ends.
func (l *lab) asks(ctx context.Context, h *history, at *Core, rnd *rand.Rand, next func() uint64) {
	for i := 0; ctx.Err() == nil; i++ {
		Wait(time.Duration(30+rnd.IntN(100)) * time.Millisecond)
		name := fmt.Sprintf("%s-%d", at.Host, i)
		switch rnd.IntN(6) {
		case 0:
			l.askKey(h, at, name, true)
		case 1:
			l.askKey(h, at, name, false)
		case 2:
			l.askNumber(h, at)
		case 3:
			l.askOrder(h, at, next(), name)
		case 4:
			l.askConfig(h, at)
		case 5:
			l.askLock(h, at, name)
		}
	}
}

func (h *history) note(at *Core, certain bool, add func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if certain {
		h.answered[at.Host]++
	}
	add()
}

func (l *lab) askKey(h *history, at *Core, value string, write bool) {
	op := standin.Op{Key: "k", Write: write, Value: value, From: time.Now()}
	var code int
	var got map[string]any
	if write {
		code, _ = l.Ask("PUT", at.Host+":7003", "/puffin/keys/k?left_ms=800", fmt.Sprintf(`{"value":%q}`, value))
	} else {
		code, got = l.Get(at.Host+":7003", "/puffin/keys/k?left_ms=800")
		op.Value, _ = got["value"].(string)
	}
	op.To, op.Unknown = time.Now(), code != 200 && (write || code != 404)
	if code == 503 {
		return
	}
	h.note(at, !op.Unknown, func() { h.keys = append(h.keys, op) })
}

func (l *lab) askNumber(h *history, at *Core) {
	call := standin.HistoryCall{From: time.Now()}
	code, got := l.Ask("POST", at.Host+":7003", "/puffin/numbers/n/next?left_ms=800", "{}")
	call.To = time.Now()
	n, _ := got["number"].(float64)
	if code != 200 {
		return
	}
	call.Out = uint64(n)
	h.note(at, true, func() { h.numbers = append(h.numbers, call) })
}

// numberedDoc is the shape's document under a number, told apart by one time.
func (l *lab) numberedDoc(number uint64, content string) string {
	doc := strings.Replace(l.S.Doc, "{", fmt.Sprintf(`{"version":%d,`, number), 1)
	return strings.Replace(doc, `"name":"read"`, fmt.Sprintf(`"name":%q`, content), 1)
}

func (l *lab) askOrder(h *history, at *Core, number uint64, content string) {
	call := standin.HistoryCall{In: standin.Order{Number: number, Content: content}, From: time.Now()}
	code, _ := l.Ask("PUT", at.Host+":7003", "/puffin/config?by=number&left_ms=800", l.numberedDoc(number, content))
	call.To = time.Now()
	if code == 503 {
		return
	}
	call.Out, call.Unknown = standin.OrderAnswer{Refused: code == 409}, code != 200 && code != 409
	h.note(at, !call.Unknown, func() { h.orders = append(h.orders, call) })
}

func (l *lab) askConfig(h *history, at *Core) {
	call := standin.HistoryCall{In: standin.Order{}, From: time.Now()}
	code, got := l.Get(at.Host+":7003", "/puffin/config?as=sent&left_ms=800")
	call.To = time.Now()
	if code != 200 && code != 404 {
		return
	}
	out := standin.OrderAnswer{}
	if code == 200 {
		n, _ := got["version"].(float64)
		out.Number = uint64(n)
		paths, _ := got["paths"].([]any)
		first, _ := paths[0].(map[string]any)
		out.Content, _ = first["name"].(string)
	}
	call.Out = out
	h.note(at, true, func() { h.orders = append(h.orders, call) })
}

func (l *lab) askLock(h *history, at *Core, owner string) {
	const ttl = 700 * time.Millisecond
	from := time.Now()
	code, got := l.Ask("POST", at.Host+":7003", "/puffin/locks/x/acquire?left_ms=800", fmt.Sprintf(`{"owner":%q,"ttl_ms":%d}`, owner, ttl.Milliseconds()))
	if code != 200 {
		h.note(at, code == 409, func() {})
		return
	}
	fence, _ := got["fence"].(float64)
	one := lockHold{owner, fence, time.Now(), from.Add(ttl)}
	h.note(at, true, func() { h.holds = append(h.holds, one) })
}

// judge checks what callers saw.
func (h *history) judge(t *testing.T) {
	t.Helper()
	if !standin.Linear(h.keys) {
		t.Errorf("the history of a key can't be explained")
	}
	if !standin.Explained(standin.NumberModel, h.numbers) {
		t.Errorf("the history of a number can't be explained")
	}
	if !standin.Explained(standin.OrderModel, h.orders) {
		t.Errorf("the history of the configuration can't be explained")
	}
	for i, a := range h.holds {
		for _, b := range h.holds[i+1:] {
			if a.owner != b.owner && a.from.Before(b.to) && b.from.Before(a.to) {
				t.Errorf("%s and %s held one lock at once", a.owner, b.owner)
			}
			if a.fence == b.fence && a.owner != b.owner {
				t.Errorf("%s and %s got the fence %v", a.owner, b.owner, a.fence)
			}
		}
	}
}
