package statemachine_test

import (
	"bytes"
	"fmt"
	"testing"

	"puffincrank/internal/statemachine"
)

// take runs one command as the batch of a log entry.
func take(t *testing.T, s *statemachine.State, kind string, c statemachine.Command) statemachine.Result {
	t.Helper()
	p, err := statemachine.Pack(kind, c)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := statemachine.Batch{p}.Pack()
	if err != nil {
		t.Fatal(err)
	}
	_, out, err := s.Apply(raw)
	if err != nil {
		t.Fatal(err)
	}
	return out[0]
}

// numbered is the request of a configuration under the operator's own number.
func numbered(t *testing.T, number uint64, doc string) *statemachine.Request {
	t.Helper()
	p, err := statemachine.Pack("config.number", &statemachine.SetNumberedConfig{Number: number, Doc: []byte(doc)})
	if err != nil {
		t.Fatal(err)
	}
	return &statemachine.Request{ID: statemachine.NumberRequestID(number), Digest: statemachine.DocumentDigest([]byte(doc)), Number: number, Command: p}
}

func reload(t *testing.T, s *statemachine.State) *statemachine.State {
	t.Helper()
	raw, err := s.Pack()
	if err != nil {
		t.Fatal(err)
	}
	s, err = statemachine.Load(raw)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestOneNumberOneContent: the content that was taken under a number is
// acknowledged as often as it comes, another never, also when the number has
// been overtaken and after a snapshot.
func TestOneNumberOneContent(t *testing.T) {
	s := statemachine.New("m", nil)
	steps := []struct {
		number uint64
		doc    string
		code   string
		stands uint64
	}{
		{5, `{"a":1}`, statemachine.OK, 5},
		{5, `{ "a": 1 }`, statemachine.OK, 5},  // the same, sent again
		{5, `{"a":2}`, statemachine.Reused, 5}, // another operator's
		{9, `{"a":3}`, statemachine.OK, 9},     // overtakes
		{5, `{"a":1}`, statemachine.OK, 9},     // the answer was lost
		{5, `{"a":2}`, statemachine.Reused, 9}, // still not his
		{7, `{"a":4}`, statemachine.OK, 9},     // overtaken before it came: changes nothing
		{7, `{"a":5}`, statemachine.Reused, 9}, // that number has its content now
		{9, `{"a":3,"b":0}`, statemachine.Reused, 9},
	}
	for i, step := range steps {
		got := take(t, s, statemachine.KindRequest, numbered(t, step.number, step.doc))
		if got.Code != step.code || s.Config().Version != step.stands {
			t.Errorf("step %d: %+v, version %d stands", i, got, s.Config().Version)
		}
		s = reload(t, s)
	}
	if !bytes.Equal(s.Config().Doc, []byte(`{"a":3}`)) {
		t.Errorf("in force: %s", s.Config().Doc)
	}
}

// TestOtherUnderHeldNumber: what stands under a number counts although no
// request of it is remembered.
func TestOtherUnderHeldNumber(t *testing.T) {
	s := statemachine.New("m", nil)
	take(t, s, "config.number", &statemachine.SetNumberedConfig{Number: 4, Doc: []byte(`{"a":1}`)})
	if got := take(t, s, statemachine.KindRequest, numbered(t, 4, `{"a":2}`)); got.Code != statemachine.Reused {
		t.Errorf("another content: %+v", got)
	}
	if got := take(t, s, statemachine.KindRequest, numbered(t, 4, `{"a":1}`)); got.Code != statemachine.OK {
		t.Errorf("the same content: %+v", got)
	}
}

// TestRequestsBounded: the memory of requests is bounded by count and by what
// the leader trims, and what is turned away is not remembered.
func TestRequestsBounded(t *testing.T) {
	s := statemachine.New("m", nil)
	next := func(id, owner string) statemachine.Result {
		p, _ := statemachine.Pack("lock.take", &statemachine.AcquireLock{Name: id, Owner: owner, TTL: 1000})
		return take(t, s, statemachine.KindRequest, &statemachine.Request{ID: id, Digest: []byte(owner), Command: p})
	}
	take(t, s, "lock.take", &statemachine.AcquireLock{Name: "held", Owner: "x", TTL: 1000})
	if got := next("held", "y"); got.Code != statemachine.Conflict {
		t.Fatalf("held by another: %+v", got)
	}
	take(t, s, "lock.free", &statemachine.ReleaseLock{Name: "held", Owner: "x"})
	if got := next("held", "y"); got.Code != statemachine.OK {
		t.Errorf("what was turned away can't be tried again: %+v", got)
	}
	for i := range statemachine.MaxRequests + 10 {
		next(fmt.Sprint("r", i), "o")
	}
	if len(s.Requests) != statemachine.MaxRequests || s.TotalRequests() != statemachine.MaxRequests+11 {
		t.Errorf("%d requests are kept, %d were counted", len(s.Requests), s.TotalRequests())
	}
	s = reload(t, s)
	if _, ok := s.Answered("held"); ok {
		t.Error("the oldest is still known")
	}
	newest := fmt.Sprint("r", statemachine.MaxRequests+9)
	if a, ok := s.Answered(newest); !ok || a.ID != newest {
		t.Errorf("the newest is %+v, %v", a, ok)
	}
	take(t, s, "request.trim", &statemachine.CompactRequests{To: s.TotalRequests() - 1})
	if a, ok := s.Answered(newest); !ok || a.ID != newest || len(s.Requests) != 1 {
		t.Errorf("after a trim: %+v, %v, %d kept", a, ok, len(s.Requests))
	}
}

// TestNestedRequest: a request in a request can't be read, so it never reaches
// the log.
func TestNestedRequest(t *testing.T) {
	inner, err := statemachine.Pack(statemachine.KindRequest, numbered(t, 1, "{}"))
	if err != nil {
		t.Fatal(err)
	}
	outer, err := statemachine.Pack(statemachine.KindRequest, &statemachine.Request{ID: "x", Command: inner})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := outer.Unpack(); err == nil {
		t.Error("it was opened")
	}
}
