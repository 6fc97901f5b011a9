package statemachine

import "testing"

// TestExpireAfterRenewal: an end of time that the leader proposed before a
// renewal was applied ends nothing.
func TestExpireAfterRenewal(t *testing.T) {
	s := New("m", nil)
	got := (&AcquireLock{Name: "l", Owner: "a", TTL: 1000}).Apply(s)
	late := &ExpireLock{Name: "l", Fence: got.Lock.Fence, Renewals: got.Lock.Renewals}
	if r := (&AcquireLock{Name: "l", Owner: "a", TTL: 1000, Renew: true, Fence: got.Lock.Fence}).Apply(s); r.Code != OK {
		t.Fatal(r)
	}
	if r := late.Apply(s); r.Code != Conflict || s.Locks["l"].Owner != "a" {
		t.Errorf("%v, held by %q", r, s.Locks["l"].Owner)
	}
	if r := (&AcquireLock{Name: "l", Owner: "b", TTL: 1000}).Apply(s); r.Code != Conflict {
		t.Errorf("taken by another: %v", r)
	}
}
