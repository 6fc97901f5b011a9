package transport_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"puffincrank/internal/fault"
	"puffincrank/internal/transport"
)

// handleTimeLeft registers a handler that reports how much time its call has left.
func (p *nodePair) handleTimeLeft(kind string) <-chan time.Duration {
	remaining := make(chan time.Duration, 9)
	transport.Handle(p.server, kind, func(ctx context.Context, _ transport.Hello, message ping) (ping, error) {
		deadline, _ := ctx.Deadline()
		remaining <- time.Until(deadline)
		return message, nil
	})
	return remaining
}

// TestDelayedCallDeadline checks that a call which was held up by a partition, or in the
// socket of a paused process, has that much less time at its handler. A call with no time
// left does not run and is refused as late.
func TestDelayedCallDeadline(t *testing.T) {
	for name, setFault := range map[string]func(*nodePair, bool){
		"cut":    func(pair *nodePair, active bool) { pair.net.Cut("h1", "h2", active) },
		"frozen": func(pair *nodePair, active bool) { pair.net.PauseProcess("h2", active) },
	} {
		synctest.Test(t, func(t *testing.T) {
			pair := newNodePair(t, "m")
			defer pair.stop()
			// The links must stay open for the whole test.
			pair.client.SilenceTimeout, pair.server.SilenceTimeout = time.Hour, time.Hour
			remaining := pair.handleTimeLeft("left")
			if _, err := call(pair, "left", ping{}, 3*time.Second); err != nil {
				t.Fatal(err)
			}
			if left := <-remaining; left < 2990*time.Millisecond || left > 3*time.Second {
				t.Errorf("%s: a call that was not delayed has %v of 3s left", name, left)
			}
			setFault(pair, true)
			results := make(chan error, 2)
			for _, timeout := range []time.Duration{time.Second, 5 * time.Second} {
				go func() {
					_, err := call(pair, "left", ping{}, timeout)
					results <- err
				}()
				synctest.Wait()
			}
			<-time.After(2 * time.Second)
			setFault(pair, false)
			if err := <-results; !fault.Is(err, fault.Unknown) {
				t.Errorf("%s: the short call ended with %v", name, err)
			}
			if err := <-results; err != nil {
				t.Errorf("%s: the long call ended with %v", name, err)
			}
			if left := <-remaining; left < 2990*time.Millisecond || left > 3010*time.Millisecond {
				t.Errorf("%s: delayed by 2 of 5s, %v are left", name, left)
			}
			if len(remaining) > 0 {
				t.Errorf("%s: an expired call ran, with %v left", name, <-remaining)
			}
		})
	}
}

const notReported = 1 << 62

// TestExpiredCallRefused checks that an expired call is refused, that the usual latency
// does not count as delay, and that calls of older peers, which do not report when they
// sent, are handled as before.
func TestExpiredCallRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pair := newNodePair(t, "m")
		defer pair.stop()
		pair.net.SetExtraDelay("h2", 200*time.Millisecond)
		peer := dialRaw(t, pair, 1)
		<-time.After(5 * time.Second)
		for i, c := range []struct {
			delayMS, timeoutMS   int64
			errorCode, errorText string
		}{
			{0, 300, "", ""},
			{3000, 300, "refused", "late"},
			{0, 300, "", ""},
			{3000, 4000, "", ""},
			{notReported, 300, "", ""},
			{0, 1 << 62, "", ""},
			{-1 << 62, 300, "", ""},
		} {
			sentAt := max(0, peer.now()-c.delayMS)
			before := pair.handled.Load()
			peer.write(t, rawFrame{Kind: "ping", ID: uint64(i + 1), TimeoutMS: c.timeoutMS, SentAtMS: sentAt, Body: []byte{0x80}})
			got := peer.readFrame(t)
			if got.ID != uint64(i+1) || got.ErrorCode != c.errorCode || !strings.Contains(got.ErrorText, c.errorText) || (pair.handled.Load() > before) != (c.errorCode == "") {
				t.Errorf("case %d: response %+v", i, got)
			}
		}
	})
}
