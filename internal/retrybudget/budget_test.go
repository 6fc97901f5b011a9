package retrybudget

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// TestClusterWideBound: whatever the ingresses attempt, the cluster-wide sum stays
// within the limit at every retry, also when they lose contact with each other. It is
// run at a high rate, where the ratio is what counts, and at a low one, where the
// allowance does.
func TestClusterWideBound(t *testing.T) {
	t.Run("high", func(t *testing.T) { checkClusterWideBound(t, 4, 20000) })
	t.Run("low", func(t *testing.T) { checkClusterWideBound(t, 600, 4000) })
}

func checkClusterWideBound(t *testing.T, maxGapMS, rounds int) {
	synctest.Test(t, func(t *testing.T) {
		const proxies, allowance = 12, 10
		var budgets []*Budget
		for range proxies {
			budget := New(10 * time.Second)
			budget.SetLimits(0.2, allowance)
			budget.SetProxyCount(proxies)
			budgets = append(budgets, budget)
		}
		budgets[3].SetProxyCount(1) // as in a network partition: it sees no others
		random := rand.New(rand.NewPCG(3, 4))
		var firstSends, retries []time.Time
		allowed, requested := 0, 0
		for range rounds {
			<-time.After(time.Duration(random.IntN(maxGapMS)) * time.Millisecond)
			budget := budgets[random.IntN(proxies)]
			budget.RecordFirst("s")
			firstSends = append(firstSends, time.Now())
			if random.IntN(2) == 0 {
				requested++
				if budget.Allow("s") {
					allowed++
					now := time.Now()
					retries = append(retries, now)
					retryCount, firstCount := 0, 0
					for i := len(retries) - 1; i >= 0 && now.Sub(retries[i]) < 10*time.Second; i-- {
						retryCount++
					}
					for i := len(firstSends) - 1; i >= 0 && now.Sub(firstSends[i]) < 10*time.Second; i-- {
						firstCount++
					}
					if float64(retryCount) > 0.2*float64(firstCount)+allowance {
						t.Fatalf("%d retries for %d first attempts", retryCount, firstCount)
					}
				}
			}
		}
		if allowed == 0 || allowed == requested {
			t.Fatalf("%d of %d retries were allowed: the test shows nothing", allowed, requested)
		}
	})
}

// TestNoAllowanceAfterStart: an ingress that has just started has no part of the
// allowance until it knows how many share it and a window has passed, since it may
// have used its part before the restart.
func TestNoAllowanceAfterStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := New(10 * time.Second)
		budget.SetLimits(0.2, 10)
		budget.RecordFirst("s")
		if budget.Allow("s") {
			t.Fatal("a retry was allowed before the number of proxies was known")
		}
		budget.SetProxyCount(10)
		if budget.Allow("s") {
			t.Fatal("the allowance was granted within a window of the restart")
		}
		<-time.After(10 * time.Second)
		if !budget.Allow("s") {
			t.Fatal("the allowance was not granted after a window")
		}
	})
}
