package controlclient

import (
	"context"
	"time"

	"puffincrank/internal/compression"
	"puffincrank/internal/membership"
	"puffincrank/internal/protocol"
	"puffincrank/internal/transport"
)

// sendHeartbeat sends one heartbeat and applies the response. Heartbeats are sent one at a
// time, so the stored hash always belongs to the list that was passed on last.
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
	if err != nil || !response.Connected {
		return false
	}
	if len(response.CompressedDocument) > 0 {
		// A document that can't be decompressed is handled like patches that don't fit.
		response.Document, _ = compression.Decompress(response.CompressedDocument)
	}
	if response.ConfigVersion > t.host.Version() && !t.ApplyConfig(response.ConfigVersion, response.Document, response.Steps) {
		// If patches did not fit, the whole document is requested at once. If the whole
		// document is invalid, requesting it again is pointless.
		if !heartbeat.AcceptsPatch || response.Document != nil {
			return false
		}
		t.needFullDocument = true
		return t.sendHeartbeat(ctx, addr)
	}
	t.needFullDocument = false
	// A control node with an older configuration than this node's is not used.
	if t.host.Version() > response.ConfigVersion {
		return false
	}
	t.recordConfirmation(sentAt, response.ConfirmedAgoMS)
	t.mu.Lock()
	// A response in time shows that the link is no longer slow.
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
	// A new replica, or one that was disconnected for too long, is refilled before the
	// session counts. If the refill is deferred, the session is kept meanwhile.
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

// applyMembers applies what a heartbeat response says about the member list. If the control
// node didn't know the list held here, the parts that differ are requested; those that
// don't arrive in time are left to the next heartbeat.
func (t *Client) applyMembers(ctx context.Context, addr string, sentHash uint64, response *protocol.HeartbeatResponse) {
	t.mu.Lock()
	list, heldHash := t.members, t.membersHash
	t.mu.Unlock()
	if len(response.CompactDiff) > 0 {
		// A diff that can't be decoded is ignored, and the parts are requested instead.
		diff, err := membership.DecodeDiff(response.CompactDiff)
		response.IsDiff, response.Added, response.Removed = response.IsDiff && err == nil, diff.Added, diff.Removed
	}
	switch {
	case response.Members != nil:
		list = membership.NewList(response.Members)
	case response.IsDiff && heldHash == sentHash:
		if list = list.Apply(response.Added, response.Removed); list.Hash() != response.MembersHash {
			// The result differs from the control node's list: the next heartbeat requests
			// parts.
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

// Close ends the session with a leave message.
func (t *Client) Close() {
	addr, _ := t.Current()
	if addr == "" {
		return
	}
	ctx, cancel := context.WithTimeout(t.deps.Group.Context(), t.deps.Settings.FarewellTimeout())
	defer cancel()
	_, _ = transport.Call[protocol.HeartbeatResponse](ctx, t.deps.Node, addr, "session.beat", protocol.Heartbeat{Member: t.deps.Self, Leaving: true})
}
