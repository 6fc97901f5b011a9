package hollow

import (
	"io"
	"sync"
)

// Sheet holds what a run has measured so far, so that one that is ended before
// it is through loses only what it had not measured.
type Sheet struct {
	mu  sync.Mutex
	all []Result
}

func (s *Sheet) begin(of Size) {
	if s == nil {
		return
	}
	s.mu.Lock()
	s.all = append(s.all, Result{Size: of})
	s.mu.Unlock()
}

func (s *Sheet) note(r Row) {
	if s == nil {
		return
	}
	s.mu.Lock()
	last := &s.all[len(s.all)-1]
	last.Rows = append(last.Rows, r)
	s.mu.Unlock()
}

// Table writes what was measured, as Table does, empty if nothing was.
func (s *Sheet) Table(target float64) string {
	all := s.had()
	if len(all) == 0 {
		return ""
	}
	return Table(all, target)
}

// Plot draws what was measured, as Plot does.
func (s *Sheet) Plot(to io.Writer, unit string, target float64) error {
	return Plot(to, s.had(), unit, target)
}

// had gives the meshes that any figure was measured of.
func (s *Sheet) had() []Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []Result
	for _, r := range s.all {
		if len(r.Rows) > 0 {
			all = append(all, r)
		}
	}
	return all
}
