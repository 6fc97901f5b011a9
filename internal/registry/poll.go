package registry

import (
	"context"
	"time"

	"puffincrank/internal/event"
	"puffincrank/internal/patch"
	"puffincrank/internal/rules"
	"puffincrank/internal/statemachine"
	"puffincrank/internal/store"
)

// poll keeps the configuration here the newest: a confirmed read that waits a
// little for a change, over and over.
func (r *Registry) poll(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		have := uint64(0)
		if r.rules != nil {
			have = r.rules.Version
		}
		// The first word is not waited for: nothing is served before it.
		wait := r.Settings.HeartbeatInterval()
		if r.sure.IsZero() {
			wait = 0
		}
		r.mu.Unlock()
		// Time for a second store when the first is unreachable.
		one, end := context.WithTimeout(ctx, 2*r.Settings.CallTimeout())
		from := time.Now()
		got, err := r.stores.read(one, store.ReadRequest{Kind: "config", From: have, WaitMS: wait.Milliseconds(), AcceptsPatch: !r.whole})
		end()
		if err == nil && r.takeConfig(got) {
			r.mu.Lock()
			r.sure = from
			r.trials, r.tries = got.Trials, got.Number
			r.mu.Unlock()
			r.fill(ctx)
			continue
		}
		if !r.inTouch() && r.life.Fire("lost") {
			r.e.Log.Emit(event.ControlLost, "with", "stores")
		}
		r.e.Sleep(ctx, r.Settings.HeartbeatInterval()/4)
	}
}

// takeConfig puts a newer configuration in force here and pushes it at once.
func (r *Registry) takeConfig(got statemachine.Result) bool {
	r.mu.Lock()
	have := uint64(0)
	old := r.rules
	if old != nil {
		have = old.Version
	}
	r.mu.Unlock()
	if got.Version <= have {
		// A lower version than ours can't be confirmed by a majority.
		return got.Version == have
	}
	steps := got.Patches
	if got.Doc == nil {
		doc, ok := r.held.Build(steps)
		// Steps that do not fit are followed by the whole at the next poll.
		if r.whole = !ok; !ok {
			return false
		}
		got.Doc = doc
	} else if _, old := r.held.Current(); have > 0 {
		steps = []patch.Patch{patch.Make(have, got.Version, old, got.Doc)}
		r.whole = false
	}
	c, bad, err := rules.Recompile(old, got.Version, got.Doc)
	if err != nil || len(bad) > 0 {
		r.e.Log.Emit(event.ConfigRefused, "version", got.Version, "faults", len(bad))
		return false
	}
	r.mu.Lock()
	r.held.Set(c.Version, c.Doc, steps)
	r.rules = c
	r.mu.Unlock()
	r.e.Log.Emit(event.ConfigApplied, "version", c.Version)
	r.push()
	return true
}
