package registry

import (
	"encoding/json"
	"net/http"

	"puffincrank/internal/event"
	"puffincrank/internal/ledger"
	"puffincrank/internal/outer"
	"puffincrank/internal/settings"
	"puffincrank/internal/store"
)

// numberConfig takes a whole document by the operator's own number: the
// highest holds, at once and without a rehearsal, and one that is not above
// the version that stands is acknowledged and changes nothing. A broken one
// is refused whatever its number.
func (r *Registry) numberConfig(w http.ResponseWriter, req *http.Request) {
	raw, ok := r.docBody(w, req)
	if !ok {
		return
	}
	var head struct {
		Version *json.Number `json:"version"`
	}
	var bad []settings.Fault
	// What can't be read here is named below, by the tables.
	if json.Unmarshal(raw, &head) == nil && head.Version == nil {
		bad = append(bad, settings.Fault{Place: "version", Wrong: "missing"})
	}
	c := r.checkDoc(w, raw, bad)
	if c == nil {
		return
	}
	number := c.Number
	ctx, end := r.timed(req)
	defer end()
	r.mu.Lock()
	old := r.rules != nil && r.rules.Version >= number
	r.mu.Unlock()
	var got ledger.Receipt
	var err error
	if old {
		// Sent again or overtaken: nothing needs to be written, only confirmed.
		got, err = r.stores.read(ctx, store.Query{What: "config", From: number})
	} else {
		got, err = r.stores.offer(ctx, "config.number", &ledger.NumberConfig{Number: number, Doc: raw, Who: who(req), Why: "applied whole by its number"})
	}
	if err != nil {
		r.failed(w, err)
		return
	}
	if got.Version == number && !old && got.Say == "" {
		r.e.Log.Emit(event.ConfigSet, "version", got.Version, "who", who(req))
	}
	outer.JSON(w, http.StatusOK, map[string]any{"version": got.Version})
}

// sentConfig gives the newest document byte for byte as an operator sent it.
func (r *Registry) sentConfig(w http.ResponseWriter, req *http.Request) {
	ctx, end := r.timed(req)
	defer end()
	got, err := r.stores.read(ctx, store.Query{What: "sent"})
	if err != nil {
		r.failed(w, err)
		return
	}
	if got.Code != ledger.OK {
		outer.JSON(w, http.StatusNotFound, outer.Wrong{Wrong: got.Say})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(got.Doc)
}
