package controlclient

import (
	"context"
	"time"

	"puffincrank/internal/compression"
	"puffincrank/internal/membership"
	"puffincrank/internal/protocol"
	"puffincrank/internal/transport"
)

// sendHeartbeat sends one beat and takes in the receipt. Beats come one after the other,
// so the list whose hash is kept is the one that is passed on last.
func (t *Client) sendHeartbeat(ctx context.Context, addr string) bool {
	t.mu.Lock()
	heartbeat := protocol.Heartbeat{Member: t.deps.Self, MembersHash: t.membersHash, AcceptsDiff: true, ControlNodesHash: membership.HashNames(t.controlNodes), AcceptsPatch: !t.needFullDocument, AcceptsCompact: true}
	t.mu.Unlock()
	heartbeat.ConfigVersion = t.host.Version()
	t.host.FillHeartbeat(&heartbeat)
	callCtx, cancel := context.WithTimeout(ctx, t.answerTimeout())
	defer cancel()
	sentAt := time.Now()
	response, err := transport.Call[protocol.HeartbeatResponse](callCtx, t.deps.Node, addr, "session.beat", heartbeat)
	if err != nil || !response.InTouch {
		return false
	}
	if len(response.CompressedDocument) > 0 {
		// What can't be read is like steps that don't fit.
		response.Document, _ = compression.Decompress(response.CompressedDocument)
	}
	if response.ConfigVersion > t.host.Version() && !t.ApplyConfig(response.ConfigVersion, response.Document, response.Steps) {
		// Steps that did not fit are asked for whole at once, a broken document
		// is no reason to ask again.
		if !heartbeat.AcceptsPatch || response.Document != nil {
			return false
		}
		t.needFullDocument = true
		return t.sendHeartbeat(ctx, addr)
	}
	t.needFullDocument = false
	// A control node that knows less than we do is not one to follow.
	if t.host.Version() > response.ConfigVersion {
		return false
	}
	t.recordConfirmation(sentAt, response.ConfirmedAgoMS)
	t.mu.Lock()
	// A receipt in time says that the way is free again.
	t.slow = t.slow && time.Since(sentAt) > t.deps.Settings.CallTimeout()
	needRefill := t.lastRenewed.IsZero() || time.Since(t.lastRenewed) > t.deps.Settings.MaxAbsence()
	if len(response.ControlNodes) > 0 {
		t.controlNodes = response.ControlNodes
	}
	t.mu.Unlock()
	if response.MembersHash != heartbeat.MembersHash {
		t.applyMembers(callCtx, addr, heartbeat.MembersHash, &response)
	}
	t.host.ProxyCountChanged(response.ProxyCount)
	// A new replica, or one that was away for too long, is refilled before
	// the session counts. Who is put off keeps its seat meanwhile.
	if needRefill {
		switch t.refill(ctx, addr) {
		case refillFailed:
			return false
		case refillDeferred:
			return true
		}
	}
	t.deps.Replica.SetCompleteUntil(time.Now().Add(t.deps.Settings.SessionTTL()))
	t.mu.Lock()
	t.lastRenewed = time.Now()
	t.signalChange()
	t.mu.Unlock()
	t.host.SessionRenewed()
	return true
}

// applyMembers takes in what a receipt says of the list of members. When the
// control node knew nothing of the list held here, what differs is asked for
// by parts; the rest of that waits for the next beat when time runs out.
func (t *Client) applyMembers(ctx context.Context, addr string, sentHash uint64, response *protocol.HeartbeatResponse) {
	t.mu.Lock()
	list, heldHash := t.members, t.membersHash
	t.mu.Unlock()
	if len(response.CompactDiff) > 0 {
		// What can't be opened is no difference: the parts are asked for.
		diff, err := membership.DecodeDiff(response.CompactDiff)
		response.IsDiff, response.Added, response.Removed = response.IsDiff && err == nil, diff.Added, diff.Removed
	}
	switch {
	case response.Members != nil:
		list = membership.NewList(response.Members)
	case response.IsDiff && heldHash == sentHash:
		if list = list.Apply(response.Added, response.Removed); list.Hash() != response.MembersHash {
			// Not what the control node holds: asked for by parts next time.
			response.MembersHash = list.Hash()
		}
	default:
		list = t.repairMembers(ctx, addr, list, response.MembersHash, response.ProxyCount)
		response.MembersHash = list.Hash()
	}
	if t.deps.SharedList != nil {
		list = t.deps.SharedList(list)
	}
	t.mu.Lock()
	t.members, t.membersHash = list, response.MembersHash
	t.mu.Unlock()
	t.deps.Replica.SetMembers(list)
	t.host.MembersChanged(list)
}

// Close ends the session politely.
func (t *Client) Close() {
	addr, _ := t.Current()
	if addr == "" {
		return
	}
	ctx, cancel := context.WithTimeout(t.deps.Group.Context(), t.deps.Settings.FarewellTimeout())
	defer cancel()
	_, _ = transport.Call[protocol.HeartbeatResponse](ctx, t.deps.Node, addr, "session.beat", protocol.Heartbeat{Member: t.deps.Self, Leaving: true})
}
