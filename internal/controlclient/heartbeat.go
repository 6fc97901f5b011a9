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
func (c *Client) sendHeartbeat(ctx context.Context, addr string) bool {
	c.mu.Lock()
	heartbeat := protocol.Heartbeat{Member: c.deps.Self, MembersHash: c.membersHash, AcceptsDiff: true, ControlNodesHash: membership.HashNames(c.controlNodes), AcceptsPatch: !c.needFullDocument, AcceptsCompact: true}
	c.mu.Unlock()
	heartbeat.ConfigVersion = c.host.Version()
	c.host.FillHeartbeat(&heartbeat)
	callCtx, cancel := context.WithTimeout(ctx, c.answerTimeout())
	defer cancel()
	sentAt := time.Now()
	response, err := transport.Call[protocol.HeartbeatResponse](callCtx, c.deps.Node, addr, "session.beat", heartbeat)
	if err != nil || !response.Connected {
		return false
	}
	if len(response.CompressedDocument) > 0 {
		// A document that can't be decompressed is handled like patches that don't fit.
		response.Document, _ = compression.Decompress(response.CompressedDocument)
	}
	if response.ConfigVersion > c.host.Version() && !c.ApplyConfig(response.ConfigVersion, response.Document, response.Patches) {
		// If patches did not fit, the whole document is requested at once. If the whole
		// document is invalid, requesting it again is pointless.
		if !heartbeat.AcceptsPatch || response.Document != nil {
			return false
		}
		c.needFullDocument = true
		return c.sendHeartbeat(ctx, addr)
	}
	c.needFullDocument = false
	// A control node with an older configuration than this node's is not used.
	if c.host.Version() > response.ConfigVersion {
		return false
	}
	c.recordConfirmation(sentAt, response.ConfirmedAgoMS)
	c.mu.Lock()
	// A response in time shows that the link is no longer slow.
	c.slow = c.slow && time.Since(sentAt) > c.deps.Settings.CallTimeout()
	needRefill := c.lastRenewed.IsZero() || time.Since(c.lastRenewed) > c.deps.Settings.MaxAbsence()
	if len(response.ControlNodes) > 0 {
		c.controlNodes = response.ControlNodes
	}
	c.mu.Unlock()
	if response.MembersHash != heartbeat.MembersHash {
		c.applyMembers(callCtx, addr, heartbeat.MembersHash, &response)
	}
	c.host.ProxyCountChanged(response.ProxyCount)
	// A new replica, or one that was disconnected for too long, is refilled before the
	// session counts. If the refill is deferred, the session is kept meanwhile.
	if needRefill {
		switch c.refill(ctx, addr) {
		case refillFailed:
			return false
		case refillDeferred:
			return true
		}
	}
	c.deps.Replica.SetCompleteUntil(time.Now().Add(c.deps.Settings.SessionTTL()))
	c.mu.Lock()
	c.lastRenewed = time.Now()
	c.signalChange()
	c.mu.Unlock()
	c.host.SessionRenewed()
	return true
}

// applyMembers applies what a heartbeat response says about the member list. If the control
// node didn't know the list held here, the parts that differ are requested; those that
// don't arrive in time are left to the next heartbeat.
func (c *Client) applyMembers(ctx context.Context, addr string, sentHash uint64, response *protocol.HeartbeatResponse) {
	c.mu.Lock()
	list, heldHash := c.members, c.membersHash
	c.mu.Unlock()
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
		list = c.repairMembers(ctx, addr, list, response.MembersHash, response.ProxyCount)
		response.MembersHash = list.Hash()
	}
	if c.deps.SharedList != nil {
		list = c.deps.SharedList(list)
	}
	c.mu.Lock()
	c.members, c.membersHash = list, response.MembersHash
	c.mu.Unlock()
	c.deps.Replica.SetMembers(list)
	c.host.MembersChanged(list)
}

// Close ends the session with a leave message.
func (c *Client) Close() {
	addr, _ := c.Current()
	if addr == "" {
		return
	}
	ctx, cancel := context.WithTimeout(c.deps.Group.Context(), c.deps.Settings.GoodbyeTimeout())
	defer cancel()
	_, _ = transport.Call[protocol.HeartbeatResponse](ctx, c.deps.Node, addr, "session.beat", protocol.Heartbeat{Member: c.deps.Self, Leaving: true})
}
