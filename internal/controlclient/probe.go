package controlclient

import (
	"context"
	"time"

	"puffincrank/internal/ballot"
	"puffincrank/internal/event"
	"puffincrank/internal/protocol"
	"puffincrank/internal/transport"
)

// peerPings is how many peers are pinged to find out whether this node's own link is fast.
const peerPings = 3

// answerTimeout returns how long to wait for an answer. If answers are known to come late,
// it is as long as they can still be of use.
func (c *Client) answerTimeout() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.slow {
		return c.deps.Settings.ConfirmationTTL()
	}
	return c.deps.Settings.CallTimeout()
}

// renewSession renews the session, with another control node if necessary.
func (c *Client) renewSession(ctx context.Context) {
	c.mu.Lock()
	current := c.controlNode
	c.mu.Unlock()
	if current != "" && c.sendHeartbeat(ctx, current) {
		return
	}
	c.mu.Lock()
	controlNodes := append([]string(nil), c.controlNodes...)
	previous, wasDisconnected, wasSlow := c.controlNode, c.disconnected, c.slow
	c.mu.Unlock()
	if previous != "" {
		c.deps.Log.Emit(event.SessionDown, "with", previous)
	}
	found, confidence, startedAt := c.probeAll(ctx, controlNodes)
	// Control nodes that came back in the middle of a round answer late for that reason
	// alone, and a process pause delays everything in its round. A second round, started
	// now, gives a clear result.
	if confidence != protocol.Confirmed && (wasDisconnected && confidence == protocol.Unconfirmed || c.deps.LastPauseEnd().After(startedAt)) {
		found, confidence, startedAt = c.probeAll(ctx, controlNodes)
	}
	c.mu.Lock()
	c.controlNode = found
	c.disconnected, c.slow = confidence == protocol.Disconnected, confidence == protocol.Unconfirmed || confidence == protocol.Confirmed && c.slow
	if c.disconnected {
		c.lastDisconnectedRound = startedAt
		c.controlNodes = union(c.seeds, c.controlNodes)
	}
	c.signalChange()
	c.mu.Unlock()
	switch {
	case found != "":
		c.deps.Log.Emit(event.SessionUp, "with", found)
		if wasDisconnected {
			c.deps.Log.Emit(event.ControlRegained, "with", found)
		}
	case confidence == protocol.Disconnected && !wasDisconnected:
		c.deps.Log.Emit(event.ControlLost, "asked", len(controlNodes))
	case confidence == protocol.Unconfirmed && !wasSlow:
		c.deps.Log.Emit(event.ConfigUnconfirmed, "asked", len(controlNodes))
	}
}

// probeAll probes all control nodes concurrently, because it must be known within the bound
// whether any of them is connected to a majority. Only the first that is gets a heartbeat,
// so that the others open no session, send no member list and refill no replica. If none
// confirms that it is connected, the result is Disconnected only on evidence of a
// partition.
func (c *Client) probeAll(ctx context.Context, controlNodes []string) (string, protocol.Confidence, time.Time) {
	found, disconnectedNodes, linkFast, startedAt := "", 0, false, time.Now()
	probeCtx, cancel := context.WithTimeout(ctx, c.answerTimeout())
	defer cancel()
	heartbeatCtx := probeCtx
	if c.answerTimeout() > c.deps.Settings.CallTimeout() {
		heartbeatCtx = ctx
	}
	pinged := make(chan bool, 1)
	if !c.deps.Group.Go("ring", func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, c.deps.Settings.CallTimeout()/2)
		defer cancel()
		pinged <- c.deps.Node.PingRole(ctx, "proxy", peerPings)
	}) {
		pinged <- false
	}
	ballot.Poll(probeCtx, c.deps.Group, controlNodes, c.probe, func(addr string, response protocol.HeartbeatResponse, err error) bool {
		switch {
		case err != nil:
		case !response.Connected:
			disconnectedNodes++
			linkFast = linkFast || time.Since(startedAt) < c.deps.Settings.CallTimeout()/2
		case found == "" && c.sendHeartbeat(heartbeatCtx, addr):
			found = addr
		}
		return found != ""
	})
	if found != "" {
		return found, protocol.Confirmed, startedAt
	}
	return "", c.classifyOutage(startedAt, disconnectedNodes, <-pinged || linkFast), startedAt
}

// classifyOutage distinguishes a network partition from a link on which answers come late.
// A link that still delivers bytes is not partitioned, and then this node is bound by what
// was acknowledged on the other side. Messages to control nodes and to peers wait in the
// same link. So a peer that answers in time, or a control node that answers in time that it
// is disconnected, shows that the link is fast and that the other control nodes' silence is
// their own.
func (c *Client) classifyOutage(startedAt time.Time, disconnectedNodes int, linkFast bool) protocol.Confidence {
	if c.deps.Node.CountActivePeers("registry", startedAt) > disconnectedNodes {
		// A control node that sent bytes but no answer is late, not cut off.
		return protocol.Unconfirmed
	}
	// A saturated link may also be silent for a while before it delivers what is queued.
	if !linkFast && c.deps.Node.CountActivePeers("", time.Now().Add(-c.deps.Settings.ConfigBound)) > 0 {
		return protocol.Unconfirmed
	}
	return protocol.Disconnected
}

// probe asks a control node whether it is connected. The answer counts for as long as it
// can be of use, even when the round is over.
func (c *Client) probe(_ context.Context, addr string) (protocol.HeartbeatResponse, error) {
	ctx, cancel := context.WithTimeout(c.deps.Group.Context(), c.deps.Settings.ConfirmationTTL())
	defer cancel()
	sentAt := time.Now()
	response, err := transport.Call[protocol.HeartbeatResponse](ctx, c.deps.Node, addr, "session.beat", protocol.Heartbeat{Member: c.deps.Self, ConfigVersion: c.host.Version(), Probe: true})
	// Control nodes of earlier versions send no age with the answer to a probe.
	if err == nil && response.Connected && response.ConfirmedAgoMS > 0 && response.ConfigVersion <= c.host.Version() {
		c.recordConfirmation(sentAt, response.ConfirmedAgoMS)
	}
	return response, err
}

// recordConfirmation records that the configuration held here was the newest ageMS before
// the call was sent.
func (c *Client) recordConfirmation(sentAt time.Time, ageMS int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if confirmedAt := sentAt.Add(-time.Duration(ageMS) * time.Millisecond); confirmedAt.After(c.confirmedAt) {
		c.confirmedAt = confirmedAt
	}
}

// Confidence returns how certain the node is that its configuration is the newest.
func (c *Client) Confidence() protocol.Confidence {
	pauseEnd := c.deps.LastPauseEnd()
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.confirmedAt) <= c.deps.Settings.ConfirmationTTL() {
		return protocol.Confirmed
	}
	// A round during a process pause proves nothing: answers may be waiting unread.
	if c.disconnected && c.lastDisconnectedRound.After(pauseEnd) && time.Since(c.lastDisconnectedRound) <= c.deps.Settings.ConfirmationTTL() {
		return protocol.Disconnected
	}
	return protocol.Unconfirmed
}

// Confirm waits until the node may act on its own. A node that was paused calls it before
// it accepts or forwards another request. The wait is bounded by the time of one round over
// all control nodes and by half of the remaining time. If answers are known to come late it
// doesn't wait, because other nodes may be better informed.
func (c *Client) Confirm(ctx context.Context, deadline time.Time) protocol.Confidence {
	if confidence := c.Confidence(); confidence != protocol.Unconfirmed {
		return confidence
	}
	ctx, cancel := context.WithTimeout(ctx, min(2*c.deps.Settings.CallTimeout()+c.deps.Settings.HeartbeatInterval(), time.Until(deadline)/2))
	defer cancel()
	for {
		c.mu.Lock()
		stateChanged, slow := c.stateChanged, c.slow
		c.mu.Unlock()
		if confidence := c.Confidence(); confidence != protocol.Unconfirmed {
			return confidence
		}
		c.HeartbeatNow()
		if slow {
			return protocol.Unconfirmed
		}
		select {
		case <-stateChanged:
		case <-ctx.Done():
			return c.Confidence()
		}
	}
}
