package controlclient

import (
	"context"
	"time"

	"puffincrank/internal/ballot"
	"puffincrank/internal/event"
	"puffincrank/internal/protocol"
	"puffincrank/internal/transport"
)

// rings is how many fellows are pinged to learn whether the own line is quick.
const rings = 3

// leash is how long an answer is waited for: where they are known to come late,
// as long as they can still be of use.
func (t *Client) leash() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.slow {
		return t.x.Settings.ConfirmationTTL()
	}
	return t.x.Settings.CallTimeout()
}

// once renews the session, with another control node if need be.
func (t *Client) once(ctx context.Context) {
	t.mu.Lock()
	at := t.at
	t.mu.Unlock()
	if at != "" && t.beat(ctx, at) {
		return
	}
	t.mu.Lock()
	core := append([]string(nil), t.core...)
	was, was2, slow := t.at, t.lost, t.slow
	t.mu.Unlock()
	if was != "" {
		t.x.Log.Emit(event.SessionDown, "with", was)
	}
	found, word, began := t.round(ctx, core)
	// Control nodes that were gone and came back in the middle of a round answer
	// late by that alone, and so does everything in a round that a freeze fell
	// into: one that begins now tells.
	if word != protocol.Confirmed && (was2 && word == protocol.Unconfirmed || t.x.LastPauseEnd().After(began)) {
		found, word, began = t.round(ctx, core)
	}
	t.mu.Lock()
	t.at = found
	t.lost, t.slow = word == protocol.Disconnected, word == protocol.Unconfirmed || word == protocol.Confirmed && t.slow
	if t.lost {
		t.out = began
		t.core = union(t.seeds, t.core)
	}
	t.stir()
	t.mu.Unlock()
	switch {
	case found != "":
		t.x.Log.Emit(event.SessionUp, "with", found)
		if was2 {
			t.x.Log.Emit(event.ControlRegained, "with", found)
		}
	case word == protocol.Disconnected && !was2:
		t.x.Log.Emit(event.ControlLost, "asked", len(core))
	case word == protocol.Unconfirmed && !slow:
		t.x.Log.Emit(event.ConfigUnconfirmed, "asked", len(core))
	}
}

// round asks all control nodes at once: within the bound it must be known
// whether any is in touch. The first that is gets the beat, so that the others
// hold no seat, send no list and fill no replica. When none answers that it is,
// the word is Lost only on evidence of a cut.
func (t *Client) round(ctx context.Context, core []string) (string, protocol.Confidence, time.Time) {
	found, outs, quick, began := "", 0, false, time.Now()
	round, end := context.WithTimeout(ctx, t.leash())
	defer end()
	with := round
	if t.leash() > t.x.Settings.CallTimeout() {
		with = ctx
	}
	rung := make(chan bool, 1)
	if !t.x.Group.Go("ring", func(ctx context.Context) {
		ctx, end := context.WithTimeout(ctx, t.x.Settings.CallTimeout()/2)
		defer end()
		rung <- t.x.Node.PingRole(ctx, "proxy", rings)
	}) {
		rung <- false
	}
	ballot.Poll(round, t.x.Group, core, t.look, func(who string, got protocol.HeartbeatResponse, err error) bool {
		switch {
		case err != nil:
		case !got.InTouch:
			outs++
			quick = quick || time.Since(began) < t.x.Settings.CallTimeout()/2
		case found == "" && t.beat(with, who):
			found = who
		}
		return found != ""
	})
	if found != "" {
		return found, protocol.Confirmed, began
	}
	return "", t.verdict(began, outs, <-rung || quick), began
}

// verdict tells a cut from a line on which answers come late. One that brings
// bytes late is no cut, and what has been acknowledged beyond it binds this node
// too. What is sent to the control nodes and to fellows waits in the same line,
// so a fellow that answers in time, or a control node that says it is out of
// touch, shows that the silence of the others is theirs.
func (t *Client) verdict(began time.Time, outs int, quick bool) protocol.Confidence {
	if t.x.Node.CountActivePeers("registry", began) > outs {
		// One is heard that gave no answer: it isn't cut off, only late.
		return protocol.Unconfirmed
	}
	// A full line may also be still for a while before it brings what waits.
	if !quick && t.x.Node.CountActivePeers("", time.Now().Add(-t.x.Settings.ConfigBound)) > 0 {
		return protocol.Unconfirmed
	}
	return protocol.Disconnected
}

// look asks a control node whether it is in touch. Its answer counts for as long
// as it can be of use, also when the round is over.
func (t *Client) look(_ context.Context, to string) (protocol.HeartbeatResponse, error) {
	ctx, end := context.WithTimeout(t.x.Group.Context(), t.x.Settings.ConfirmationTTL())
	defer end()
	from := time.Now()
	got, err := transport.Call[protocol.HeartbeatResponse](ctx, t.x.Node, to, "session.beat", protocol.Heartbeat{Member: t.x.Self, ConfigVersion: t.host.Version(), Probe: true})
	// Control nodes of before give no age with it.
	if err == nil && got.InTouch && got.ConfirmedAgoMS > 0 && got.ConfigVersion <= t.host.Version() {
		t.sees(from, got.ConfirmedAgoMS)
	}
	return got, err
}

// sees notes that what is held here was the newest at a time before a call.
func (t *Client) sees(from time.Time, age int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sure := from.Add(-time.Duration(age) * time.Millisecond); sure.After(t.sure) {
		t.sure = sure
	}
}

// Confidence tells how sure the node is of the configuration that it holds.
func (t *Client) Confidence() protocol.Confidence {
	woke := t.x.LastPauseEnd()
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Since(t.sure) <= t.x.Settings.ConfirmationTTL() {
		return protocol.Confirmed
	}
	// A round that a freeze fell into says nothing: its answers may wait unread.
	if t.lost && t.out.After(woke) && time.Since(t.out) <= t.x.Settings.ConfirmationTTL() {
		return protocol.Disconnected
	}
	return protocol.Unconfirmed
}

// Confirm waits until the node may act by itself. A node that was frozen comes
// here before it takes or hands over another job. The wait is bounded by a round
// over all control nodes and by half of the time left. Where answers are known
// to come late there is no use in waiting: others may know better.
func (t *Client) Confirm(ctx context.Context, end time.Time) protocol.Confidence {
	if w := t.Confidence(); w != protocol.Unconfirmed {
		return w
	}
	ctx, over := context.WithTimeout(ctx, min(2*t.x.Settings.CallTimeout()+t.x.Settings.HeartbeatInterval(), time.Until(end)/2))
	defer over()
	for {
		t.mu.Lock()
		turn, slow := t.turn, t.slow
		t.mu.Unlock()
		if w := t.Confidence(); w != protocol.Unconfirmed {
			return w
		}
		t.HeartbeatNow()
		if slow {
			return protocol.Unconfirmed
		}
		select {
		case <-turn:
		case <-ctx.Done():
			return t.Confidence()
		}
	}
}
