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

// Operator sends complete configuration documents by number and reads them back.
type Operator struct {
	Env         env.Env
	Recorder    *checker.Recorder
	Nodes       func() []string // addresses of the nodes that the operator knows
	SendTimeout time.Duration   // how long a document is sent again without a conclusive answer
	random      *lockedRand
	mu          sync.Mutex
	sent        []*checker.Document
}

// NewOperator creates an operator who knows the given nodes.
func NewOperator(environment env.Env, nodes func() []string, recorder *checker.Recorder, seed uint64) *Operator {
	return &Operator{Env: environment, Recorder: recorder, Nodes: nodes, SendTimeout: 30 * time.Second, random: newLockedRand(seed)}
}

// pickNode draws a node, if possible another one than the previous.
func (o *Operator) pickNode(previous string) string {
	nodes := o.Nodes()
	node := nodes[o.random.intN(len(nodes))]
	for i := 0; node == previous && len(nodes) > 1 && i < 8; i++ {
		node = nodes[o.random.intN(len(nodes))]
	}
	return node
}

// Send sends a draft to one node after the other until it gets a conclusive answer, and
// reports whether it was acknowledged. If invalid is not empty, that text is sent instead;
// defect says what is wrong with it.
func (o *Operator) Send(ctx context.Context, draft *Draft, invalid, defect string) bool {
	document := draft.Document()
	if invalid != "" {
		document.Raw, document.Defect = invalid, defect
	}
	o.mu.Lock()
	o.sent = append(o.sent, document)
	o.mu.Unlock()
	o.Recorder.DocumentSent(document)
	ok := o.submit(ctx, document)
	if !ok {
		o.Recorder.Update(func() { document.EndedAt = time.Now() })
	}
	return ok
}

// Resend sends a random earlier document a second time, unchanged.
func (o *Operator) Resend(ctx context.Context) {
	o.mu.Lock()
	var earlier *checker.Document
	if count := len(o.sent); count > 1 {
		earlier = o.sent[o.random.intN(count-1)]
	}
	o.mu.Unlock()
	if earlier != nil {
		o.submit(ctx, earlier)
	}
}

func (o *Operator) submit(ctx context.Context, document *checker.Document) bool {
	node, pause, unexpected := "", 100*time.Millisecond, 0
	timeout := time.Second + time.Duration(len(document.Raw)/1000)*time.Millisecond
	for start := time.Now(); time.Since(start) < o.SendTimeout && ctx.Err() == nil; {
		node = o.pickNode(node)
		code, _ := CallNode(ctx, o.Env.Net, http.MethodPut, node, "/puffin/config?by=number", []byte(document.Raw), timeout)
		switch {
		case code == 200:
			o.Recorder.DocumentAcked(document, hostOf(node))
			return true
		case code == 400 || code == 409 || code == 412 || code == 413 || code == 422:
			o.noteRejected(document)
			return false
		case code/100 == 4 && code != 408 && code != 429:
			if unexpected++; unexpected == 3 {
				o.noteRejected(document)
				return false
			}
		}
		task.Sleep(ctx, o.random.around(pause))
		pause = min(pause*3/2, 2*time.Second)
	}
	return false
}

func (o *Operator) noteRejected(document *checker.Document) {
	o.Recorder.Update(func() {
		if document.RejectedAt.IsZero() {
			document.RejectedAt = time.Now()
		}
	})
}

// ReadBack reads the newest document back, and tries other nodes until the timeout.
func (o *Operator) ReadBack(ctx context.Context, timeout time.Duration, final bool) {
	start := time.Now()
	for node := ""; ; {
		node = o.pickNode(node)
		sentAt := time.Now()
		code, raw := CallNode(ctx, o.Env.Net, http.MethodGet, node, "/puffin/config?as=sent", nil, time.Second)
		if code == 200 {
			o.Recorder.RecordConfigRead(o.compareRead(sentAt, string(raw), final))
			return
		}
		if time.Since(start) > timeout || ctx.Err() != nil {
			o.Recorder.RecordConfigRead(checker.ConfigRead{SentAt: sentAt, ReceivedAt: time.Now(), Final: final})
			return
		}
		task.Sleep(ctx, 200*time.Millisecond)
	}
}

func (o *Operator) compareRead(sentAt time.Time, raw string, final bool) checker.ConfigRead {
	var parsed struct {
		Version uint64 `json:"version"`
	}
	_ = json.Unmarshal([]byte(raw), &parsed)
	read := checker.ConfigRead{SentAt: sentAt, ReceivedAt: time.Now(), Number: parsed.Version, Final: final, Answered: true}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, d := range o.sent {
		read.Unchanged = read.Unchanged || d.Number == parsed.Version && d.Defect == "" && sameDocument(d.Raw, raw)
	}
	return read
}
