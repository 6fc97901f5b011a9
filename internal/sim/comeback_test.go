package sim

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/dialect"
	"puffincrank/internal/httpapi"
	"puffincrank/internal/task"
)

// TestComeBack: of a service that is asked for 1.7 times what its slots do,
// callers come back as they are told, twice at the most. No slot stands idle,
// and who came back takes no slot from new jobs, which can still be served in
// time: most of what is served is. By the ends of their waits alone 0.53 was.
func TestComeBack(t *testing.T) {
	heavy(t)
	synctest.Test(t, func(t *testing.T) {
		const aim, left, long, warm = 300 * time.Millisecond, 2400 * time.Millisecond, 10 * time.Second, 2 * time.Second
		s := one()
		s.Doc = `{"services":[{"name":"s"}],"classes":[{"name":"a","share":100}],"paths":[{"name":"pa","prefix":"/a","service":"s","class":"a","left_ms":2400,"aim_ms":300}]}`
		f := NewFleet(t, s, 118)
		defer f.Stop()
		f.Start()
		var mu sync.Mutex
		var all sync.WaitGroup
		count := map[string]int{}
		try := func(host string, end time.Time) (int, time.Duration) {
			r, _ := http.NewRequest("GET", "http://"+host+":8000/a", nil)
			r.Header.Set(dialect.Default.Timeout, strconv.FormatInt(time.Until(end).Milliseconds(), 10))
			w, err := f.way.RoundTrip(r)
			if err != nil {
				return 0, 0
			}
			defer func() { _ = w.Body.Close() }()
			raw, _ := io.ReadAll(w.Body)
			var no httpapi.ErrorBody
			_ = json.Unmarshal(raw, &no)
			return w.StatusCode, time.Duration(no.RetryMS) * time.Millisecond
		}
		job := func(ctx context.Context, host string, counts bool) {
			from := time.Now()
			end, how := from.Add(left), "refused"
			for range 3 {
				code, come := try(host, end)
				if code == http.StatusOK {
					if how = "late"; time.Since(from) <= aim {
						how = "in aim"
					}
					break
				}
				task.Sleep(ctx, min(come, time.Until(end)/3))
			}
			if counts {
				mu.Lock()
				count[how]++
				mu.Unlock()
			}
		}
		from := time.Now()
		for i := 0; time.Since(from) < long; i++ {
			host, counts := f.Nodes[i%len(f.Nodes)].Host, time.Since(from) > warm
			all.Add(1)
			f.g.Go("job", func(ctx context.Context) {
				defer all.Done()
				job(ctx, host, counts)
			})
			Wait(time.Second / 600)
		}
		all.Wait()
		served := float64(count["in aim"] + count["late"])
		part, use := float64(count["in aim"])/served, served/(360*(long-warm).Seconds())
		t.Logf("%v: of those served %.2f in their aim, room used %.2f", count, part, use)
		if part < 0.85 {
			t.Errorf("of those served %.2f had their aim", part)
		}
		if use < 0.9 {
			t.Errorf("only %.2f of the room was used under pressure", use)
		}
	})
}
