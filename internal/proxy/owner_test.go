package proxy

import (
	"context"
	"testing"

	"puffincrank/internal/protocol"
	"puffincrank/internal/rules"
)

// TestOlderConfiguration checks that an owner with a newer configuration runs a request by an
// older one only if the ingress was confirmed in that one. An ingress that was paused or
// partitioned has to take the newer one first, even if that routes the request here too.
func TestOlderConfiguration(t *testing.T) {
	const doc = `{"version":1,"services":[{"name":"s"}],"paths":[{"name":"p","prefix":"/p/","service":"s"}]}`
	newer, bad, err := rules.Compile(5, []byte(doc))
	if err != nil || len(bad) > 0 {
		t.Fatal(bad, err)
	}
	x := &Proxy{}
	x.rules.Store(newer)
	attemptReq := protocol.AttemptRequest{Route: "p", Host: "h", Method: "GET", URI: "/p/1", Service: "s", Class: newer.Match("h", "GET", "/p/1").Base.Class}
	for _, c := range []struct {
		version    uint64
		confidence protocol.Confidence
		runs       bool
	}{
		{4, protocol.Confirmed, true},
		{4, protocol.Unspecified, true},
		{4, protocol.Disconnected, false},
		{4, protocol.Unconfirmed, false},
		{5, protocol.Unconfirmed, true},
		{5, protocol.Disconnected, true},
	} {
		attempt := &ownerAttempt{req: attemptReq}
		attempt.req.ConfigVersion, attempt.req.Confidence = c.version, c.confidence
		if x.checkRules(context.Background(), attempt) != c.runs {
			t.Errorf("version %d, confidence %d: runs %v", c.version, c.confidence, !c.runs)
		}
		if !c.runs && (!attempt.result.ConfigMismatch || attempt.result.ConfigVersion != 5 || attempt.result.Outcome != protocol.Refused) {
			t.Errorf("version %d, confidence %d: result %+v", c.version, c.confidence, attempt.result)
		}
	}
}
