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

// pollConfig keeps the configuration held here up to date, with confirmed reads that wait
// up to a heartbeat interval for a change.
func (r *Registry) pollConfig(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		heldVersion := uint64(0)
		if r.rules != nil {
			heldVersion = r.rules.Version
		}
		// The first read doesn't wait for a change, since nothing is served before it.
		wait := r.Settings.HeartbeatInterval()
		if r.confirmedAt.IsZero() {
			wait = 0
		}
		r.mu.Unlock()
		// The timeout leaves time for a second store when the first is unreachable.
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

// applyConfig puts a newer configuration in force here and pushes it to the sessions at
// once.
func (r *Registry) applyConfig(result statemachine.Result) bool {
	r.mu.Lock()
	heldVersion := uint64(0)
	previous := r.rules
	if previous != nil {
		heldVersion = previous.Version
	}
	r.mu.Unlock()
	if result.Version <= heldVersion {
		// A majority can't have confirmed a version below the one held here.
		return result.Version == heldVersion
	}
	steps := result.Patches
	if result.Doc == nil {
		doc, ok := r.document.Build(steps)
		// If the patches don't fit, the next poll fetches the full document.
		if r.needFullDocument = !ok; !ok {
			return false
		}
		result.Doc = doc
	} else if _, previous := r.document.Current(); heldVersion > 0 {
		steps = []patch.Patch{patch.Make(heldVersion, result.Version, previous, result.Doc)}
		r.needFullDocument = false
	}
	compiled, problems, err := rules.Recompile(previous, result.Version, result.Doc)
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
