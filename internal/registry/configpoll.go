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

// pollConfig keeps the configuration here the newest: a confirmed read that waits a
// little for a change, over and over.
func (r *Registry) pollConfig(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		heldVersion := uint64(0)
		if r.rules != nil {
			heldVersion = r.rules.Version
		}
		// The first word is not waited for: nothing is served before it.
		wait := r.Settings.HeartbeatInterval()
		if r.confirmedAt.IsZero() {
			wait = 0
		}
		r.mu.Unlock()
		// Time for a second store when the first is unreachable.
		callCtx, cancel := context.WithTimeout(ctx, 2*r.Settings.CallTimeout())
		startedAt := time.Now()
		result, err := r.stores.read(callCtx, store.ReadRequest{Kind: "config", From: heldVersion, WaitMS: wait.Milliseconds(), AcceptsPatch: !r.needFullDocument})
		cancel()
		if err == nil && r.applyConfig(result) {
			r.mu.Lock()
			r.confirmedAt = startedAt
			r.trials, r.lastTrialNumber = result.Trials, result.Number
			r.mu.Unlock()
			r.refill(ctx)
			continue
		}
		if !r.connected() && r.lifecycle.Fire("lost") {
			r.env.Log.Emit(event.ControlLost, "with", "stores")
		}
		r.env.Sleep(ctx, r.Settings.HeartbeatInterval()/4)
	}
}

// applyConfig puts a newer configuration in force here and pushes it at once.
func (r *Registry) applyConfig(result statemachine.Result) bool {
	r.mu.Lock()
	heldVersion := uint64(0)
	previous := r.rules
	if previous != nil {
		heldVersion = previous.Version
	}
	r.mu.Unlock()
	if result.Version <= heldVersion {
		// A lower version than ours can't be confirmed by a majority.
		return result.Version == heldVersion
	}
	steps := result.Steps
	if result.Doc == nil {
		doc, ok := r.document.Build(steps)
		// Steps that do not fit are followed by the whole at the next poll.
		if r.needFullDocument = !ok; !ok {
			return false
		}
		result.Doc = doc
	} else if _, previous := r.document.Current(); heldVersion > 0 {
		steps = []patch.Step{patch.Make(heldVersion, result.Version, previous, result.Doc)}
		r.needFullDocument = false
	}
	compiled, problems, err := rules.Next(previous, result.Version, result.Doc)
	if err != nil || len(problems) > 0 {
		r.env.Log.Emit(event.ConfigRefused, "version", result.Version, "faults", len(problems))
		return false
	}
	r.mu.Lock()
	r.document.Set(compiled.Version, compiled.Doc, steps)
	r.rules = compiled
	r.mu.Unlock()
	r.env.Log.Emit(event.ConfigApplied, "version", compiled.Version)
	r.pushConfig()
	return true
}
