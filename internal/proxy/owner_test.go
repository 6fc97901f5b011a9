package proxy

import (
	"context"
	"testing"

	"puffincrank/internal/rules"
	"puffincrank/internal/session"
)

// TestOlderConfiguration: an owner that holds a newer configuration runs a job by
// an older one only for a front that was sure of it. A front that was frozen or
// cut off is told to take the newer one, though that sends the job here too.
func TestOlderConfiguration(t *testing.T) {
	const doc = `{"version":1,"services":[{"name":"s"}],"paths":[{"name":"p","prefix":"/p/","service":"s"}]}`
	newer, bad, err := rules.Compile(5, []byte(doc))
	if err != nil || len(bad) > 0 {
		t.Fatal(bad, err)
	}
	x := &Proxy{}
	x.rules.Store(newer)
	hand := session.Hand{Host: "h", Method: "GET", URI: "/p/1", Service: "s", Class: newer.Match("h", "GET", "/p/1").Base.Class}
	for _, c := range []struct {
		version uint64
		word    session.Word
		runs    bool
	}{
		{4, session.Sure, true},
		{4, session.Unsaid, true},
		{4, session.Lost, false},
		{4, session.Unsure, false},
		{5, session.Unsure, true},
		{5, session.Lost, true},
	} {
		v := &visit{in: hand}
		v.in.Version, v.in.Word = c.version, c.word
		if x.checkRules(context.Background(), v) != c.runs {
			t.Errorf("version %d, word %d: runs %v", c.version, c.word, !c.runs)
		}
		if !c.runs && (!v.back.Rules || v.back.Version != 5 || v.back.Kind != session.Refused) {
			t.Errorf("version %d, word %d: answered %+v", c.version, c.word, v.back)
		}
	}
}
