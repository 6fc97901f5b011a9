package checker

import (
	"math"
	"time"
)

// A service's share of the requests of a weighted split may differ from its weight by up to
// splitTolerance. Fewer requests than splitMinRequests are not judged.
const (
	splitMinRequests = 200
	splitTolerance   = 0.2
)

// checkSplits checks that the services of a weighted split get their shares of the requests
// while only one document can be in force (CONFIG).
func (w *Recorder) checkSplits() {
	for _, document := range w.documents {
		from, to, ok := w.soleDocumentPeriod(document)
		if !ok {
			continue
		}
		for i := range document.Routes {
			if route := &document.Routes[i]; len(route.Weights) > 1 {
				w.checkSplit(document, route, from, to)
			}
		}
	}
}

// soleDocumentPeriod returns the period in which only the given document can be in force. ok
// is false if there is none.
func (w *Recorder) soleDocumentPeriod(document *Document) (from, to time.Time, ok bool) {
	if document.Defect != "" || document.AckedAt.IsZero() || w.newestAcked(document.AckedAt) > document.Number {
		return from, to, false
	}
	from, to = document.AckedAt.Add(w.Bounds.DocumentChange), time.Now()
	for _, other := range w.documents {
		if other.Number > document.Number && other.Defect == "" && other.FirstSentAt.Before(to) {
			to = other.FirstSentAt
		}
	}
	return from, to, from.Before(to)
}

// checkSplit checks one route by the requests sent in [from, to). If one of them reached no
// worker, one of the services may be rejecting requests; the shares are not judged then.
func (w *Recorder) checkSplit(document *Document, route *RouteSpec, from, to time.Time) {
	counts, total, weights := map[string]int{}, 0, 0
	for _, attempt := range w.attemptOrder {
		if attempt.Start.Before(from) || !attempt.Start.Before(to) || document.Match(attempt.Host, attempt.URI) != route || !w.Faults.connected(attempt.Ingress, attempt.Start, attempt.End) {
			continue
		}
		if len(attempt.Arrivals) == 0 {
			return
		}
		counts[attempt.Arrivals[0].Worker.Service]++
		total++
	}
	for _, n := range route.Weights {
		weights += n
	}
	if total < splitMinRequests || weights == 0 {
		return
	}
	for s, n := range route.Weights {
		share, expected := float64(counts[s])/float64(total), float64(n)/float64(weights)
		if math.Abs(share-expected) > splitTolerance {
			w.recordBreach(Config, "path %s of document %d: %s got %.2f of %d requests, its weight is %.2f", route.Name, document.Number, s, share, total, expected)
		}
	}
}
