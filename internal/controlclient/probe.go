package controlclient

import (
	"context"
	"time"

	"puffincrank/internal/ballot"
	"puffincrank/internal/event"
	"puffincrank/internal/protocol"
	"puffincrank/internal/transport"
)

// peerPings is how many fellows are pinged to learn whether the own line is quick.
const peerPings = 3

// answerTimeout is how long an answer is waited for: where they are known to come late,
// as long as they can still be of use.
func (t *Client) answerTimeout() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.slow {
		return t.deps.Settings.ConfirmationTTL()
	}
	return t.deps.Settings.CallTimeout()
}

// renewSession renews the session, with another control node if need be.
func (t *Client) renewSession(ctx context.Context) {
	t.mu.Lock()
	current := t.controlNode
	t.mu.Unlock()
	if current != "" && t.sendHeartbeat(ctx, current) {
		return
	}
	t.mu.Lock()
	controlNodes := append([]string(nil), t.controlNodes...)
	previous, wasDisconnected, wasSlow := t.controlNode, t.disconnected, t.slow
	t.mu.Unlock()
	if previous != "" {
		t.deps.Log.Emit(event.SessionDown, "with", previous)
	}
	found, confidence, startedAt := t.probeAll(ctx, controlNodes)
	// Control nodes that were gone and came back in the middle of a round answer
	// late by that alone, and so does everything in a round that a freeze fell
	// into: one that begins now tells.
	if confidence != protocol.Confirmed && (wasDisconnected && confidence == protocol.Unconfirmed || t.deps.LastPauseEnd().After(startedAt)) {
		found, confidence, startedAt = t.probeAll(ctx, controlNodes)
	}
	t.mu.Lock()
	t.controlNode = found
	t.disconnected, t.slow = confidence == protocol.Disconnected, confidence == protocol.Unconfirmed || confidence == protocol.Confirmed && t.slow
	if t.disconnected {
		t.disconnectedRound = startedAt
		t.controlNodes = union(t.seeds, t.controlNodes)
	}
	t.signalChange()
	t.mu.Unlock()
	switch {
	case found != "":
		t.deps.Log.Emit(event.SessionUp, "with", found)
		if wasDisconnected {
			t.deps.Log.Emit(event.ControlRegained, "with", found)
		}
	case confidence == protocol.Disconnected && !wasDisconnected:
		t.deps.Log.Emit(event.ControlLost, "asked", len(controlNodes))
	case confidence == protocol.Unconfirmed && !wasSlow:
		t.deps.Log.Emit(event.ConfigUnconfirmed, "asked", len(controlNodes))
	}
}

// probeAll asks all control nodes at once: within the bound it must be known
// whether any is in touch. The first that is gets the beat, so that the others
// hold no seat, send no list and fill no replica. When none answers that it is,
// the word is Lost only on evidence of a cut.
func (t *Client) probeAll(ctx context.Context, controlNodes []string) (string, protocol.Confidence, time.Time) {
	found, disconnectedNodes, linkFast, startedAt := "", 0, false, time.Now()
	probeCtx, cancel := context.WithTimeout(ctx, t.answerTimeout())
	defer cancel()
	heartbeatCtx := probeCtx
	if t.answerTimeout() > t.deps.Settings.CallTimeout() {
		heartbeatCtx = ctx
	}
	pinged := make(chan bool, 1)
	if !t.deps.Group.Go("ring", func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, t.deps.Settings.CallTimeout()/2)
		defer cancel()
		pinged <- t.deps.Node.PingRole(ctx, "proxy", peerPings)
	}) {
		pinged <- false
	}
	ballot.Poll(probeCtx, t.deps.Group, controlNodes, t.probe, func(addr string, response protocol.HeartbeatResponse, err error) bool {
		switch {
		case err != nil:
		case !response.InTouch:
			disconnectedNodes++
			linkFast = linkFast || time.Since(startedAt) < t.deps.Settings.CallTimeout()/2
		case found == "" && t.sendHeartbeat(heartbeatCtx, addr):
			found = addr
		}
		return found != ""
	})
	if found != "" {
		return found, protocol.Confirmed, startedAt
	}
	return "", t.classifyOutage(startedAt, disconnectedNodes, <-pinged || linkFast), startedAt
}

// classifyOutage tells a cut from a line on which answers come late. One that brings
// bytes late is no cut, and what has been acknowledged beyond it binds this node
// too. What is sent to the control nodes and to fellows waits in the same line,
// so a fellow that answers in time, or a control node that says it is out of
// touch, shows that the silence of the others is theirs.
func (t *Client) classifyOutage(startedAt time.Time, disconnectedNodes int, linkFast bool) protocol.Confidence {
	if t.deps.Node.CountActivePeers("registry", startedAt) > disconnectedNodes {
		// One is heard that gave no answer: it isn't cut off, only late.
		return protocol.Unconfirmed
	}
	// A full line may also be still for a while before it brings what waits.
	if !linkFast && t.deps.Node.CountActivePeers("", time.Now().Add(-t.deps.Settings.ConfigBound)) > 0 {
		return protocol.Unconfirmed
	}
	return protocol.Disconnected
}

// probe asks a control node whether it is in touch. Its answer counts for as long
// as it can be of use, also when the round is over.
func (t *Client) probe(_ context.Context, addr string) (protocol.HeartbeatResponse, error) {
	ctx, cancel := context.WithTimeout(t.deps.Group.Context(), t.deps.Settings.ConfirmationTTL())
	defer cancel()
	sentAt := time.Now()
	response, err := transport.Call[protocol.HeartbeatResponse](ctx, t.deps.Node, addr, "session.beat", protocol.Heartbeat{Member: t.deps.Self, ConfigVersion: t.host.Version(), Probe: true})
	// Control nodes of before give no age with it.
	if err == nil && response.InTouch && response.ConfirmedAgoMS > 0 && response.ConfigVersion <= t.host.Version() {
		t.recordConfirmation(sentAt, response.ConfirmedAgoMS)
	}
	return response, err
}

// recordConfirmation notes that what is held here was the newest at a time before a call.
func (t *Client) recordConfirmation(sentAt time.Time, ageMS int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if confirmedAt := sentAt.Add(-time.Duration(ageMS) * time.Millisecond); confirmedAt.After(t.confirmedAt) {
		t.confirmedAt = confirmedAt
	}
}

// Confidence tells how sure the node is of the configuration that it holds.
func (t *Client) Confidence() protocol.Confidence {
	pauseEnd := t.deps.LastPauseEnd()
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Since(t.confirmedAt) <= t.deps.Settings.ConfirmationTTL() {
		return protocol.Confirmed
	}
	// A round that a freeze fell into says nothing: its answers may wait unread.
	if t.disconnected && t.disconnectedRound.After(pauseEnd) && time.Since(t.disconnectedRound) <= t.deps.Settings.ConfirmationTTL() {
		return protocol.Disconnected
	}
	return protocol.Unconfirmed
}

// Confirm waits until the node may act by itself. A node that was frozen comes
// here before it takes or hands over another job. The wait is bounded by a round
// over all control nodes and by half of the time left. Where answers are known
// to come late there is no use in waiting: others may know better.
func (t *Client) Confirm(ctx context.Context, deadline time.Time) protocol.Confidence {
	if confidence := t.Confidence(); confidence != protocol.Unconfirmed {
		return confidence
	}
	ctx, cancel := context.WithTimeout(ctx, min(2*t.deps.Settings.CallTimeout()+t.deps.Settings.HeartbeatInterval(), time.Until(deadline)/2))
	defer cancel()
	for {
		t.mu.Lock()
		stateChanged, slow := t.stateChanged, t.slow
		t.mu.Unlock()
		if confidence := t.Confidence(); confidence != protocol.Unconfirmed {
			return confidence
		}
		t.HeartbeatNow()
		if slow {
			return protocol.Unconfirmed
		}
		select {
		case <-stateChanged:
		case <-ctx.Done():
			return t.Confidence()
		}
	}
}
