package paxos

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"puffincrank/internal/disk"
	"puffincrank/internal/fault"
)

// head is the checkpoint without its state.
func (c *Checkpoint) head() *Checkpoint {
	return &Checkpoint{Format: c.Format, Slot: c.Slot, Sum: c.Sum}
}

// Snapshot reads the newest checkpoint whole from the disk; nil when there is
// none. No other checkpoint is written meanwhile.
func (a *Acceptor) Snapshot() (*Checkpoint, error) {
	a.big.Lock()
	defer a.big.Unlock()
	point := a.Point()
	if point == nil {
		return nil, nil
	}
	data, err := disk.Load(a.fs, checkpointName(point.Slot))
	if err != nil {
		return nil, err
	}
	var c Checkpoint
	if err := msgpack.Unmarshal(data, &c); err != nil {
		return nil, fault.Wrap(fault.Stale, err, "read checkpoint")
	}
	return &c, nil
}

// checkpointName is the file of the checkpoint after a slot.
func checkpointName(slot uint64) string { return fmt.Sprintf("c-%016x", slot) }
