package transport

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestBulkNeverStalls checks that a link with the turn can always send bulk or has a probe
// in flight whose response resumes it, whatever the probes report and however long the
// link is idle.
func TestBulkNeverStalls(t *testing.T) {
	const silenceTimeout = 500 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		control := congestion{enabled: true, hasTurn: true, window: initialWindow}
		now, id := time.Second, uint64(0)
		sendDueProbe := func() {
			if control.probeDue() {
				id++
				control.probeSent(id, now)
			}
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				control.resumeFromIdle(now, silenceTimeout)
				sendDueProbe()
			case 1:
				if control.maySend() {
					control.recordSent(rapid.IntRange(1, control.limitChunk(maxChunk)+30).Draw(t, "size"))
					sendDueProbe()
				}
			case 2:
				if len(control.probes) == 0 {
					continue
				}
				now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "took")) * time.Millisecond
				arrived := time.Duration(0)
				if rapid.Bool().Draw(t, "tells") {
					arrived = now - time.Millisecond
				}
				// Sometimes a response acknowledges earlier probes as well.
				index := rapid.IntRange(0, len(control.probes)-1).Draw(t, "mark")
				if control.matchProbe(id+1) || !control.matchProbe(control.probes[index].id) {
					t.Fatal("the response to a probe was not matched")
				}
				if pause := control.probeAcked(now, arrived, silenceTimeout, rapid.Bool().Draw(t, "more")); pause > silenceTimeout {
					t.Fatalf("pause of %v exceeds the silence timeout", pause)
				}
				sendDueProbe()
			case 3:
				now += time.Duration(rapid.IntRange(0, 9000).Draw(t, "rest")) * time.Millisecond
			}
			if !control.maySend() && len(control.probes) == 0 {
				t.Fatalf("bulk waits without a probe in flight: %+v", control)
			}
			if control.window < minWindow || control.window > maxWindow || control.inFlight < 0 || control.unprobed < 0 || len(control.probes) == 0 && control.inFlight != control.unprobed {
				t.Fatalf("%+v", control)
			}
		}
	})
}

// TestWindowConverges checks that the window converges to little more than what fills a link,
// for various rates and latencies, and whether or not the peer reports when probes arrive.
func TestWindowConverges(t *testing.T) {
	const silenceTimeout = 500 * time.Millisecond
	for _, reports := range []bool{true, false} {
		for _, rate := range []int{125_000, 1_000_000, 12_500_000} {
			for _, latency := range []time.Duration{time.Millisecond, 100 * time.Millisecond} {
				control := congestion{enabled: true, hasTurn: true, window: initialWindow}
				now, linkFree, id := time.Second, time.Second, uint64(0)
				type probeTimes struct{ arrived, acked time.Duration }
				var responses []probeTimes
				for end := now + 20*time.Second; now < end; {
					if control.maySend() {
						n := control.limitChunk(maxChunk)
						control.recordSent(n)
						linkFree = max(linkFree, now) + time.Duration(n)*time.Second/time.Duration(rate)
						if control.probeDue() {
							id++
							control.probeSent(id, now)
							responses = append(responses, probeTimes{linkFree + latency/2, linkFree + latency})
						}
						continue
					}
					now = max(now, responses[0].acked)
					arrived := time.Duration(0)
					if reports {
						arrived = responses[0].arrived - latency/2
					}
					responses = responses[1:]
					control.probeAcked(now, arrived, silenceTimeout, true)
				}
				delay := linkFree - now
				if got := control.rate.bytesPerSecond; got < float64(rate)*0.7 || delay > silenceTimeout/delayDivisor*2 {
					t.Errorf("at %d bytes per second over %v, arrivals reported %v: measured %.0f, delay %v", rate, latency, reports, got, delay)
				}
			}
		}
	}
}

// TestWindowAfterIdle guards against a window that grows beyond its old size after an idle
// period, though a delay was observed recently: links that wait for their turns would take
// capacity from the active ones. Up to the old size the window grows as fast as ever, so
// that a short delay costs a fast link nothing, and after a long time without delays it
// grows beyond.
func TestWindowAfterIdle(t *testing.T) {
	const silenceTimeout = 500 * time.Millisecond
	for _, c := range []struct {
		idle             time.Duration
		window           int
		minimum, maximum float64 // the window afterwards, relative to the old one
	}{{staleTimeouts * silenceTimeout * 3 / 2, initialWindow, 0.9, 1.25}, {staleTimeouts * silenceTimeout * 3 / 2, 16 * initialWindow, 0.9, 1.25}, {quietTimeouts * silenceTimeout, initialWindow, 4, 1000}} {
		control := congestion{enabled: true, hasTurn: true, window: c.window}
		now, id := time.Second, uint64(0)
		round := func(elapsed time.Duration) {
			for control.maySend() && !control.probeDue() {
				control.recordSent(control.limitChunk(maxChunk))
			}
			id++
			control.probeSent(id, now)
			now += elapsed
			if !control.matchProbe(id) {
				t.Fatal("the response to the probe was not matched")
			}
			control.probeAcked(now, 0, silenceTimeout, true)
		}
		round(time.Millisecond)
		for range 2 * probesPerWindow {
			round(silenceTimeout / delayDivisor * 9 / 10)
		}
		oldWindow := float64(control.window)
		now += c.idle
		if control.resumeFromIdle(now, silenceTimeout); control.window > initialWindow {
			t.Errorf("window of %d after an idle period", control.window)
		}
		for range 8 * probesPerWindow {
			round(time.Millisecond)
		}
		if got := float64(control.window) / oldWindow; got < c.minimum || got > c.maximum {
			t.Errorf("after %v of idleness the window grew to %.2f of the old one, %.0f", c.idle, got, oldWindow)
		}
	}
}
