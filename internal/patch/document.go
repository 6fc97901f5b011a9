package patch

import "sync"

// Document is the current version of a document together with the newest steps that lead to it.
type Document struct {
	mu        sync.Mutex
	maxSteps  int // number of steps kept for nodes that are behind
	version   uint64
	doc       []byte
	steps     []Patch
	stepBytes int
}

// NewDocument creates an empty Document that keeps at most maxSteps steps.
func NewDocument(maxSteps int) *Document { return &Document{maxSteps: maxSteps} }

// Set installs a newer version, with the steps from the current version to it if they are known.
func (d *Document) Set(version uint64, doc []byte, steps []Patch) {
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
	// Steps that add up to more than half of the document are never sent.
	for len(d.steps) > d.maxSteps || d.stepBytes > len(doc)/2 && len(d.steps) > 0 {
		d.stepBytes -= d.steps[0].Size()
		d.steps = append([]Patch(nil), d.steps[1:]...)
	}
}

// Current returns the current version and the document.
func (d *Document) Current() (uint64, []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version, d.doc
}

// Since returns the steps from a version to the current one. It returns false when they are not
// known, or when the whole document is the better choice.
func (d *Document) Since(version uint64) ([]Patch, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, s := range d.steps {
		if s.From == version {
			return append([]Patch(nil), d.steps[i:]...), true
		}
	}
	return nil, false
}

// Build applies steps to the current document and returns the result. Steps up to the current
// version are skipped. False means that the steps do not fit.
func (d *Document) Build(steps []Patch) ([]byte, bool) {
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
