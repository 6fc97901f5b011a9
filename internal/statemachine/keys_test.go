package statemachine

import "testing"

// TestExpireAfterRenewal checks that an ExpireLock proposed before a renewal, but
// applied after it, does not release the lock.
func TestExpireAfterRenewal(t *testing.T) {
	s := New("m", nil)
	got := (&AcquireLock{Name: "l", Owner: "a", TTL: 1000}).Apply(s)
	expire := &ExpireLock{Name: "l", Fence: got.Lock.Fence, Renewals: got.Lock.Renewals}
	if result := (&AcquireLock{Name: "l", Owner: "a", TTL: 1000, Renew: true, Fence: got.Lock.Fence}).Apply(s); result.Code != OK {
		t.Fatal(result)
	}
	if result := expire.Apply(s); result.Code != Conflict || s.Locks["l"].Owner != "a" {
		t.Errorf("expiry after a renewal: %v, lock held by %q", result, s.Locks["l"].Owner)
	}
	if result := (&AcquireLock{Name: "l", Owner: "b", TTL: 1000}).Apply(s); result.Code != Conflict {
		t.Errorf("acquired by another owner: %v", result)
	}
}
