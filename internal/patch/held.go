package patch

import "sync"

// Document is the document that a process holds, with the newest steps to it.
type Document struct {
	mu      sync.Mutex
	most    int // steps kept, for those that lag
	version uint64
	doc     []byte
	steps   []Patch
	size    int
}

// NewDocument holds nothing yet, and later at the most so many steps.
func NewDocument(most int) *Document { return &Document{most: most} }

// Set takes a newer document, and the steps that lead to it from the one held
// if they are known.
func (h *Document) Set(version uint64, doc []byte, steps []Patch) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version <= h.version {
		return
	}
	for len(steps) > 0 && steps[0].From < h.version {
		steps = steps[1:]
	}
	if len(steps) == 0 || steps[0].From != h.version || h.version == 0 {
		h.steps, h.size = nil, 0
	} else {
		h.steps = append(h.steps, steps...)
		for _, s := range steps {
			h.size += s.Size()
		}
	}
	h.version, h.doc = version, doc
	// More steps than make up half of the document are never sent.
	for len(h.steps) > h.most || h.size > len(doc)/2 && len(h.steps) > 0 {
		h.size -= h.steps[0].Size()
		h.steps = append([]Patch(nil), h.steps[1:]...)
	}
}

// Current gives what is held.
func (h *Document) Current() (uint64, []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.version, h.doc
}

// Since gives the steps that lead from a version to the one held; false when
// they are not known, or not worth it.
func (h *Document) Since(version uint64) ([]Patch, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, s := range h.steps {
		if s.From == version {
			return append([]Patch(nil), h.steps[i:]...), true
		}
	}
	return nil, false
}

// Build makes the document that steps lead to from the one held; steps that
// went by already are passed over. False means that they do not fit.
func (h *Document) Build(steps []Patch) ([]byte, bool) {
	version, doc := h.Current()
	for _, s := range steps {
		if s.To <= version {
			continue
		}
		if s.From != version {
			return nil, false
		}
		next, err := s.Apply(doc)
		if err != nil {
			return nil, false
		}
		version, doc = s.To, next
	}
	return doc, true
}
