package store

import (
	"puffincrank/internal/ledger"
)

// plain gives the commands of a batch, and where each offer's own stands among
// them. A lock that its owner acquires again is given back and taken in one
// version, so that it has a new fence: a release or renewal of the old one, held
// up on its way, then does nothing. Both are commands that every version of the
// program applies alike. learn is held.
func (s *Store) plain(batch []*offer) (cmds ledger.Batch, mine []int) {
	for _, o := range batch {
		if back, take, ok := s.anew(o.cmd); ok {
			cmds = append(cmds, back)
			o.cmd = take
		}
		mine = append(mine, len(cmds))
		cmds = append(cmds, o.cmd)
	}
	return cmds, mine
}

// anew splits the renewed acquisition of a lock in two; false for all else.
func (s *Store) anew(p ledger.Packed) (back, take ledger.Packed, ok bool) {
	if p.Kind != "lock.take" {
		return back, take, false
	}
	c, err := p.Open()
	in, is := c.(*ledger.TakeLock)
	if err != nil || !is || in.Renew {
		return back, take, false
	}
	s.mu.Lock()
	l, held := s.led.Locks[in.Name]
	s.mu.Unlock()
	if !held || l.Owner != in.Owner {
		return back, take, false
	}
	// Nor does this take time away from what the owner may count on.
	in.TTL = max(in.TTL, l.TTL)
	var err2 error
	back, err = ledger.Pack("lock.free", &ledger.FreeLock{Name: in.Name, Owner: in.Owner, Fence: l.Fence})
	take, err2 = ledger.Pack("lock.take", in)
	return back, take, err == nil && err2 == nil
}
