package actors

import (
	"fmt"
	"strings"
	"time"

	"puffincrank/internal/standin/checker"
)

// EdgeKind is the kind of the requests whose paths lie at the edge of a route's prefix.
const EdgeKind = "edge"

// nestedSegment is the last segment of the prefix of a route that lies inside another one.
const nestedSegment = "within/"

// EdgeRequests describes requests to the edges of the prefixes of other kinds, and of the routes
// that NestedRoutes adds to them. Many of them have no route, so they need not be served; how often
// one may run is decided by the documents.
func EdgeRequests(kinds []*RequestKind, rate float64) *RequestKind {
	return &RequestKind{Kind: EdgeKind, Method: "POST", Rate: rate, Size: 100, AnswerSize: 200, WorkTime: 20 * time.Millisecond, TargetLatency: 200 * time.Millisecond, Timeout: time.Second, Retries: 1,
		DrawURI: func(chance uint64) (host, uri string) {
			kind := kinds[chance%uint64(len(kinds))]
			prefix := kind.Prefix
			if chance /= uint64(len(kinds)); chance%2 == 0 {
				prefix += nestedSegment
			}
			return kind.Host, edgeURI(prefix, kind.Prefix, chance/2)
		}}
}

// edgeURI draws a URI that lies at the edge of a prefix, within it or without.
func edgeURI(prefix, outerPrefix string, chance uint64) string {
	bare := strings.TrimSuffix(prefix, "/")
	slash := strings.LastIndexByte(bare, '/')
	number := chance >> 8
	switch chance % 8 {
	case 0, 1:
		return bare
	case 2:
		return fmt.Sprintf("%sx/%x", bare, number)
	case 3:
		return fmt.Sprintf("%s/%x", prefix, number)
	case 4:
		return fmt.Sprintf("%s/%%%02x%s%x", bare[:slash], bare[slash+1], prefix[slash+2:], number)
	case 5:
		return fmt.Sprintf("%s?next=%s%s", bare, outerPrefix, nestedSegment)
	case 6:
		return fmt.Sprintf("/%s%x", prefix, number)
	}
	return fmt.Sprintf("%s%x", prefix, number)
}

// NestedRoutes returns, for each route, one inside it whose requests may run again where those of
// the outer route may not and the other way round, and which belongs to the service of another
// route where there is one.
func NestedRoutes(routes []RouteDraft) []RouteDraft {
	nested := make([]RouteDraft, len(routes))
	for i, outer := range routes {
		inner := outer
		inner.Name, inner.Prefix = outer.Name+"-within", outer.Prefix+nestedSegment
		inner.RetryMode = "safe"
		if retryable(outer.RetryMode) {
			inner.RetryMode = "never"
		}
		// Every second one stays with the outer route's service, so that only its kind differs.
		if i%2 == 0 {
			inner.Split = routes[(i+1)%len(routes)].Split
		}
		nested[i] = inner
	}
	return nested
}

// retryable reports whether requests of a route with this retry mode may run more than once.
func retryable(mode string) bool { return mode == "safe" || mode == "download" }

// mayRunAgain reports whether a client may send a request again that may have run. Requests to
// edges may if all documents say so.
func (c *Client) mayRunAgain(kind *RequestKind, attempt *checker.Attempt) bool {
	if kind.DrawURI == nil {
		return kind.Retryable
	}
	return c.Recorder.AlwaysRetryable(attempt.Host, attempt.URI)
}
