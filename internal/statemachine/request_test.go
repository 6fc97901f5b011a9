package statemachine_test

import (
	"bytes"
	"fmt"
	"testing"

	"puffincrank/internal/statemachine"
)

// apply applies one command as the batch of a log entry.
func apply(t *testing.T, s *statemachine.State, kind string, command statemachine.Command) statemachine.Result {
	t.Helper()
	packed, err := statemachine.Pack(kind, command)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := statemachine.Batch{packed}.Pack()
	if err != nil {
		t.Fatal(err)
	}
	_, results, err := s.Apply(raw)
	if err != nil {
		t.Fatal(err)
	}
	return results[0]
}

// numberedRequest returns the request for a configuration with an operator's number.
func numberedRequest(t *testing.T, number uint64, doc string) *statemachine.Request {
	t.Helper()
	packed, err := statemachine.Pack("config.number", &statemachine.SetNumberedConfig{Number: number, Doc: []byte(doc)})
	if err != nil {
		t.Fatal(err)
	}
	return &statemachine.Request{ID: statemachine.NumberRequestID(number), Digest: statemachine.DocumentDigest([]byte(doc)), Number: number, Command: packed}
}

// reload encodes the state and loads it again, as a snapshot would.
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

// TestOneNumberOneContent checks that the content accepted under a number is
// acknowledged on every retry and that different content never is. This also holds
// after a higher number took effect and after the state was reloaded from a snapshot.
func TestOneNumberOneContent(t *testing.T) {
	s := statemachine.New("m", nil)
	steps := []struct {
		number  uint64
		doc     string
		code    string
		current uint64
	}{
		{5, `{"a":1}`, statemachine.OK, 5},
		{5, `{ "a": 1 }`, statemachine.OK, 5},  // a retry
		{5, `{"a":2}`, statemachine.Reused, 5}, // another operator's document
		{9, `{"a":3}`, statemachine.OK, 9},     // supersedes number 5
		{5, `{"a":1}`, statemachine.OK, 9},     // a retry after the response was lost
		{5, `{"a":2}`, statemachine.Reused, 9}, // still different content
		{7, `{"a":4}`, statemachine.OK, 9},     // superseded before it arrived: changes nothing
		{7, `{"a":5}`, statemachine.Reused, 9}, // number 7 is now bound to its content
		{9, `{"a":3,"b":0}`, statemachine.Reused, 9},
	}
	for i, step := range steps {
		got := apply(t, s, statemachine.KindRequest, numberedRequest(t, step.number, step.doc))
		if got.Code != step.code || s.Config().Version != step.current {
			t.Errorf("step %d: %+v, current version is %d", i, got, s.Config().Version)
		}
		s = reload(t, s)
	}
	if !bytes.Equal(s.Config().Doc, []byte(`{"a":3}`)) {
		t.Errorf("current document is %s", s.Config().Doc)
	}
}

// TestCurrentNumberRejectsOtherContent checks that the current configuration binds its
// number to its content even when no request for it is recorded.
func TestCurrentNumberRejectsOtherContent(t *testing.T) {
	s := statemachine.New("m", nil)
	apply(t, s, "config.number", &statemachine.SetNumberedConfig{Number: 4, Doc: []byte(`{"a":1}`)})
	if got := apply(t, s, statemachine.KindRequest, numberedRequest(t, 4, `{"a":2}`)); got.Code != statemachine.Reused {
		t.Errorf("different content: %+v", got)
	}
	if got := apply(t, s, statemachine.KindRequest, numberedRequest(t, 4, `{"a":1}`)); got.Code != statemachine.OK {
		t.Errorf("the same content: %+v", got)
	}
}

// TestRequestsBounded checks that recorded requests are bounded by MaxRequests and by
// CompactRequests, and that a refused request is not recorded.
func TestRequestsBounded(t *testing.T) {
	s := statemachine.New("m", nil)
	acquire := func(id, owner string) statemachine.Result {
		packed, _ := statemachine.Pack("lock.take", &statemachine.AcquireLock{Name: id, Owner: owner, TTL: 1000})
		return apply(t, s, statemachine.KindRequest, &statemachine.Request{ID: id, Digest: []byte(owner), Command: packed})
	}
	apply(t, s, "lock.take", &statemachine.AcquireLock{Name: "held", Owner: "x", TTL: 1000})
	if got := acquire("held", "y"); got.Code != statemachine.Conflict {
		t.Fatalf("lock held by another owner: %+v", got)
	}
	apply(t, s, "lock.free", &statemachine.ReleaseLock{Name: "held", Owner: "x"})
	if got := acquire("held", "y"); got.Code != statemachine.OK {
		t.Errorf("a refused request cannot be retried: %+v", got)
	}
	for i := range statemachine.MaxRequests + 10 {
		acquire(fmt.Sprint("r", i), "o")
	}
	if len(s.Requests) != statemachine.MaxRequests || s.TotalRequests() != statemachine.MaxRequests+11 {
		t.Errorf("%d requests are retained, %d were counted", len(s.Requests), s.TotalRequests())
	}
	s = reload(t, s)
	if _, ok := s.FindRequest("held"); ok {
		t.Error("the oldest request is still recorded")
	}
	newest := fmt.Sprint("r", statemachine.MaxRequests+9)
	if answered, ok := s.FindRequest(newest); !ok || answered.ID != newest {
		t.Errorf("the newest request is %+v, %v", answered, ok)
	}
	apply(t, s, "request.trim", &statemachine.CompactRequests{To: s.TotalRequests() - 1})
	if answered, ok := s.FindRequest(newest); !ok || answered.ID != newest || len(s.Requests) != 1 {
		t.Errorf("after compaction: %+v, %v, %d retained", answered, ok, len(s.Requests))
	}
}

// TestNestedRequest checks that a request inside a request cannot be decoded, so that
// it never reaches the log.
func TestNestedRequest(t *testing.T) {
	inner, err := statemachine.Pack(statemachine.KindRequest, numberedRequest(t, 1, "{}"))
	if err != nil {
		t.Fatal(err)
	}
	outer, err := statemachine.Pack(statemachine.KindRequest, &statemachine.Request{ID: "x", Command: inner})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := outer.Unpack(); err == nil {
		t.Error("a nested request was decoded")
	}
}
