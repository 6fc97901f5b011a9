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
func (t *Touch) leash() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.slow {
		return t.x.Settings.ConfirmationTTL()
	}
	return t.x.Settings.CallTimeout()
}

// once renews the session, with another control node if need be.
func (t *Touch) once(ctx context.Context) {
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
	if word != protocol.Sure && (was2 && word == protocol.Unsure || t.x.Woke().After(began)) {
		found, word, began = t.round(ctx, core)
	}
	t.mu.Lock()
	t.at = found
	t.lost, t.slow = word == protocol.Lost, word == protocol.Unsure || word == protocol.Sure && t.slow
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
			t.x.Log.Emit(event.InTouch, "with", found)
		}
	case word == protocol.Lost && !was2:
		t.x.Log.Emit(event.OutOfTouch, "asked", len(core))
	case word == protocol.Unsure && !slow:
		t.x.Log.Emit(event.Unsure, "asked", len(core))
	}
}

// round asks all control nodes at once: within the bound it must be known
// whether any is in touch. The first that is gets the beat, so that the others
// hold no seat, send no list and fill no replica. When none answers that it is,
// the word is Lost only on evidence of a cut.
func (t *Touch) round(ctx context.Context, core []string) (string, protocol.Word, time.Time) {
	found, outs, quick, began := "", 0, false, time.Now()
	round, end := context.WithTimeout(ctx, t.leash())
	defer end()
	with := round
	if t.leash() > t.x.Settings.CallTimeout() {
		with = ctx
	}
	rung := make(chan bool, 1)
	if !t.x.G.Go("ring", func(ctx context.Context) {
		ctx, end := context.WithTimeout(ctx, t.x.Settings.CallTimeout()/2)
		defer end()
		rung <- t.x.N.Ring(ctx, "proxy", rings)
	}) {
		rung <- false
	}
	ballot.Poll(round, t.x.G, core, t.look, func(who string, got protocol.Receipt, err error) bool {
		switch {
		case err != nil:
		case !got.In:
			outs++
			quick = quick || time.Since(began) < t.x.Settings.CallTimeout()/2
		case found == "" && t.beat(with, who):
			found = who
		}
		return found != ""
	})
	if found != "" {
		return found, protocol.Sure, began
	}
	return "", t.verdict(began, outs, <-rung || quick), began
}

// verdict tells a cut from a line on which answers come late. One that brings
// bytes late is no cut, and what has been acknowledged beyond it binds this node
// too. What is sent to the control nodes and to fellows waits in the same line,
// so a fellow that answers in time, or a control node that says it is out of
// touch, shows that the silence of the others is theirs.
func (t *Touch) verdict(began time.Time, outs int, quick bool) protocol.Word {
	if t.x.N.HeardFrom("registry", began) > outs {
		// One is heard that gave no answer: it isn't cut off, only late.
		return protocol.Unsure
	}
	// A full line may also be still for a while before it brings what waits.
	if !quick && t.x.N.HeardFrom("", time.Now().Add(-t.x.Settings.ConfigBound)) > 0 {
		return protocol.Unsure
	}
	return protocol.Lost
}

// look asks a control node whether it is in touch. Its answer counts for as long
// as it can be of use, also when the round is over.
func (t *Touch) look(_ context.Context, to string) (protocol.Receipt, error) {
	ctx, end := context.WithTimeout(t.x.G.Context(), t.x.Settings.ConfirmationTTL())
	defer end()
	from := time.Now()
	got, err := transport.Ask[protocol.Receipt](ctx, t.x.N, to, "session.beat", protocol.Beat{Fellow: t.x.Self, Version: t.host.Version(), Look: true})
	// Control nodes of before give no age with it.
	if err == nil && got.In && got.Age > 0 && got.Version <= t.host.Version() {
		t.sees(from, got.Age)
	}
	return got, err
}

// sees notes that what is held here was the newest at a time before a call.
func (t *Touch) sees(from time.Time, age int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sure := from.Add(-time.Duration(age) * time.Millisecond); sure.After(t.sure) {
		t.sure = sure
	}
}

// Word tells how sure the node is of the configuration that it holds.
func (t *Touch) Word() protocol.Word {
	woke := t.x.Woke()
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Since(t.sure) <= t.x.Settings.ConfirmationTTL() {
		return protocol.Sure
	}
	// A round that a freeze fell into says nothing: its answers may wait unread.
	if t.lost && t.out.After(woke) && time.Since(t.out) <= t.x.Settings.ConfirmationTTL() {
		return protocol.Lost
	}
	return protocol.Unsure
}

// Confirm waits until the node may act by itself. A node that was frozen comes
// here before it takes or hands over another job. The wait is bounded by a round
// over all control nodes and by half of the time left. Where answers are known
// to come late there is no use in waiting: others may know better.
func (t *Touch) Confirm(ctx context.Context, end time.Time) protocol.Word {
	if w := t.Word(); w != protocol.Unsure {
		return w
	}
	ctx, over := context.WithTimeout(ctx, min(2*t.x.Settings.CallTimeout()+t.x.Settings.HeartbeatInterval(), time.Until(end)/2))
	defer over()
	for {
		t.mu.Lock()
		turn, slow := t.turn, t.slow
		t.mu.Unlock()
		if w := t.Word(); w != protocol.Unsure {
			return w
		}
		t.Kick()
		if slow {
			return protocol.Unsure
		}
		select {
		case <-turn:
		case <-ctx.Done():
			return t.Word()
		}
	}
}
