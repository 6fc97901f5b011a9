package actors

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"puffincrank/internal/env"
	"puffincrank/internal/standin/checker"
	"puffincrank/internal/task"
)

// Operator sends whole documents by number and reads them back.
type Operator struct {
	E    env.Env
	Wit  *checker.Witness
	At   func() []string // the nodes that take its calls, as it knows them
	Give time.Duration   // how long it sends a document without a clear answer
	dice *dice
	mu   sync.Mutex
	sent []*checker.Doc
}

// NewOperator makes an operator who knows the given nodes.
func NewOperator(e env.Env, at func() []string, wit *checker.Witness, seed uint64) *Operator {
	return &Operator{E: e, Wit: wit, At: at, Give: 30 * time.Second, dice: newDice(seed)}
}

// pick draws a node, another one than the last if there are more.
func (o *Operator) pick(last string) string {
	all := o.At()
	at := all[o.dice.below(len(all))]
	for i := 0; at == last && len(all) > 1 && i < 8; i++ {
		at = all[o.dice.below(len(all))]
	}
	return at
}

// Send sends a draft until it has a clear answer, to one node after the other.
// With broken set the text is that, and what is wrong with it is named.
func (o *Operator) Send(ctx context.Context, d *Draft, broken, what string) bool {
	doc := d.Doc()
	if broken != "" {
		doc.Raw, doc.Broken = broken, what
	}
	o.mu.Lock()
	o.sent = append(o.sent, doc)
	o.mu.Unlock()
	o.Wit.Offer(doc)
	ok := o.put(ctx, doc)
	if !ok {
		o.Wit.Change(func() { doc.End = time.Now() })
	}
	return ok
}

// Again sends a document that was sent before once more, as it was.
func (o *Operator) Again(ctx context.Context) {
	o.mu.Lock()
	var old *checker.Doc
	if n := len(o.sent); n > 1 {
		old = o.sent[o.dice.below(n-1)]
	}
	o.mu.Unlock()
	if old != nil {
		o.put(ctx, old)
	}
}

func (o *Operator) put(ctx context.Context, doc *checker.Doc) bool {
	at, rest, odd := "", 100*time.Millisecond, 0
	long := time.Second + time.Duration(len(doc.Raw)/1000)*time.Millisecond
	for from := time.Now(); time.Since(from) < o.Give && ctx.Err() == nil; {
		at = o.pick(at)
		code, _ := Ask(ctx, o.E.Net, http.MethodPut, at, "/puffin/config?by=number", []byte(doc.Raw), long)
		switch {
		case code == 200:
			o.Wit.Took(doc, host(at))
			return true
		case code == 400 || code == 409 || code == 412 || code == 413 || code == 422:
			o.refused(doc)
			return false
		case code/100 == 4 && code != 408 && code != 429:
			if odd++; odd == 3 {
				o.refused(doc)
				return false
			}
		}
		task.Sleep(ctx, o.dice.about(rest))
		rest = min(rest*3/2, 2*time.Second)
	}
	return false
}

func (o *Operator) refused(doc *checker.Doc) {
	o.Wit.Change(func() {
		if doc.Refused.IsZero() {
			doc.Refused = time.Now()
		}
	})
}

// Read reads the newest document back, until it comes or the time is up.
func (o *Operator) Read(ctx context.Context, long time.Duration, final bool) {
	from := time.Now()
	for at := ""; ; {
		at = o.pick(at)
		asked := time.Now()
		code, raw := Ask(ctx, o.E.Net, http.MethodGet, at, "/puffin/config?as=sent", nil, time.Second)
		if code == 200 {
			o.Wit.ReadBack(o.look(asked, string(raw), final))
			return
		}
		if time.Since(from) > long || ctx.Err() != nil {
			o.Wit.ReadBack(checker.Read{From: asked, At: time.Now(), Final: final})
			return
		}
		task.Sleep(ctx, 200*time.Millisecond)
	}
}

func (o *Operator) look(asked time.Time, raw string, final bool) checker.Read {
	var got struct {
		Version uint64 `json:"version"`
	}
	_ = json.Unmarshal([]byte(raw), &got)
	r := checker.Read{From: asked, At: time.Now(), Number: got.Version, Final: final, Came: true}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, d := range o.sent {
		r.Same = r.Same || d.Number == got.Version && d.Broken == "" && alike(d.Raw, raw)
	}
	return r
}
