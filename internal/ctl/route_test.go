package ctl

import (
	"encoding/json"
	"strings"
	"testing"
)

// TestRouteRow checks how a route's fields and the defaults of omitted fields are shown.
func TestRouteRow(t *testing.T) {
	for doc, want := range map[string]string{
		`{"name":"p","prefix":"/p","service":"a","class":"x"}`: "p - any /p a x 1000 250 never 3",
		`{"name":"p","host":"h.example","method":"GET","prefix":"/p","service":"a","rank":2,"left_ms":3600000,"aim_ms":500,"repeat":"download"}`:       "p h.example GET /p a rank-2 3600000 500 download 3",
		`{"name":"p","prefix":"/p/","split":[{"service":"a","weight":90},{"service":"b","weight":0.5}],"repeat":"upload","tries":1000,"left_ms":3001}`: "p - any /p/ a=90,b=0.5 rank-0 3001 750.25 upload 1000",
	} {
		var route map[string]any
		if err := json.Unmarshal([]byte(doc), &route); err != nil {
			t.Fatal(err)
		}
		if got := strings.Join(routeRow(route), " "); got != want {
			t.Errorf("%s\nis shown as %s\nwant        %s", doc, got, want)
		}
	}
}

// TestParseSplit checks that a traffic split on the command line is parsed or refused.
func TestParseSplit(t *testing.T) {
	got, err := parseSplit("a=90, b=0.5")
	raw, _ := json.Marshal(got)
	if err != nil || string(raw) != `[{"service":"a","weight":90},{"service":"b","weight":0.5}]` {
		t.Errorf("got %s %v", raw, err)
	}
	for _, s := range []string{"", "a", "a=", "=1", "a=x", "a=1,", "a=1,b"} {
		if got, err := parseSplit(s); err == nil {
			t.Errorf("invalid split %q was parsed as %v", s, got)
		}
	}
}
