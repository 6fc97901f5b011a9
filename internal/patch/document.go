package patch

import "sync"

// Document is the document that a process holds, with the newest steps to it.
type Document struct {
	mu        sync.Mutex
	maxSteps  int // steps kept, for those that lag
	version   uint64
	doc       []byte
	steps     []Step
	stepBytes int
}

// NewDocument holds nothing yet, and later at the most so many steps.
func NewDocument(maxSteps int) *Document { return &Document{maxSteps: maxSteps} }

// Set takes a newer document, and the steps that lead to it from the one held
// if they are known.
func (d *Document) Set(version uint64, doc []byte, steps []Step) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if version <= d.version {
		return
	}
	for len(steps) > 0 && steps[0].From < d.version {
		steps = steps[1:]
	}
	if len(steps) == 0 || steps[0].From != d.version || d.version == 0 {
		d.steps, d.stepBytes = nil, 0
	} else {
		d.steps = append(d.steps, steps...)
		for _, s := range steps {
			d.stepBytes += s.Size()
		}
	}
	d.version, d.doc = version, doc
	// More steps than make up half of the document are never sent.
	for len(d.steps) > d.maxSteps || d.stepBytes > len(doc)/2 && len(d.steps) > 0 {
		d.stepBytes -= d.steps[0].Size()
		d.steps = append([]Step(nil), d.steps[1:]...)
	}
}

// Current gives what is held.
func (d *Document) Current() (uint64, []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version, d.doc
}

// Since gives the steps that lead from a version to the one held; false when
// they are not known, or not worth it.
func (d *Document) Since(version uint64) ([]Step, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, s := range d.steps {
		if s.From == version {
			return append([]Step(nil), d.steps[i:]...), true
		}
	}
	return nil, false
}

// Build makes the document that steps lead to from the one held; steps that
// went by already are passed over. False means that they do not fit.
func (d *Document) Build(steps []Step) ([]byte, bool) {
	version, doc := d.Current()
	for _, s := range steps {
		if s.To <= version {
			continue
		}
		if s.From != version {
			return nil, false
		}
		patched, err := s.Apply(doc)
		if err != nil {
			return nil, false
		}
		version, doc = s.To, patched
	}
	return doc, true
}
