package admit

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/teaselstream/teaselstream"
)

// TestWindowBudgetBound guards against more retries in any window than the limit, for random orders of requests and
// retries, and against a new VM that begins with a full budget.
func TestWindowBudgetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		const ratio, allowance = 0.2, 30.0
		var b WindowBudget
		b.Set(ratio, allowance, window)
		now := time.Unix(1000, 0)
		type event struct {
			at    time.Time
			retry bool
		}
		var events []event
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.Request(now)
				events = append(events, event{now, false})
			} else if b.Retry(now) {
				events = append(events, event{now, true})
			}
		}
		for i, first := range events {
			retries, requests := 0.0, 0.0
			for j, e := range events {
				// Requests of the previous window count too, because the limit takes the larger of the two windows.
				if e.at.After(first.at.Add(-window)) && e.at.Before(first.at.Add(window)) && !e.retry {
					requests++
				}
				if j >= i && e.at.Before(first.at.Add(window)) && e.retry {
					retries++
				}
			}
			if bound := ratio*requests + allowance; retries > bound+1 {
				t.Fatalf("%v retries in a window, bound %v", retries, bound)
			}
		}
	})
}

// TestWindowBudgetStartsEmpty guards against a VM that spends a whole budget right after each restart.
func TestWindowBudgetStartsEmpty(t *testing.T) {
	var b WindowBudget
	b.Set(0.2, 30, 10*time.Second)
	if b.Retry(time.Unix(1000, 0)) {
		t.Error("a new budget allows a retry before any request")
	}
	for range 10 {
		b.Request(time.Unix(1000, 0))
	}
	if !b.Retry(time.Unix(1000, 0)) {
		t.Error("ten requests do not allow one retry at a ratio of 0.2")
	}
}

// TestWindowBudgetRefillsFromTheFirstRequest guards against a refill that begins only with the first retry: a VM that
// had served for 8 s without a retry then could not resume the six streams of a lost server.
func TestWindowBudgetRefillsFromTheFirstRequest(t *testing.T) {
	var b WindowBudget
	b.Set(0.2, 14, 10*time.Second)
	now := time.Unix(1000, 0)
	b.Request(now)
	now = now.Add(9 * time.Second)
	retries := 0
	for b.Retry(now) {
		retries++
	}
	if retries != 6 {
		t.Errorf("%d retries 9 s after the first request, want 6 of the 7 that a window refills", retries)
	}
}

// TestWindowBudgetSavesForLoss guards against a budget that is too small for the loss of one server in a fleet of many
// VMs: a VM with 5 requests per second and an allowance of 4 has to retry several requests at once.
func TestWindowBudgetSavesForLoss(t *testing.T) {
	var b WindowBudget
	b.Set(0.2, 4, 10*time.Second)
	now := time.Unix(1000, 0)
	for range 100 {
		now = now.Add(200 * time.Millisecond)
		b.Request(now)
	}
	retries := 0
	for b.Retry(now) {
		retries++
	}
	if retries < 5 {
		t.Errorf("%d retries at once after 20 s of 5 requests a second, want 5 or more", retries)
	}
}

// TestRunningStreamsKeepAReserve guards against new requests that use up the whole budget while all servers of some
// layers refuse work. Running streams that then lost a server were cut, as in a release that replaced six servers while
// others were full.
func TestRunningStreamsKeepAReserve(t *testing.T) {
	var b WindowBudget
	b.Set(0.2, 24, 10*time.Second)
	now := time.Unix(1000, 0)
	for range 300 {
		now = now.Add(40 * time.Millisecond)
		b.Request(now)
	}
	const refused, running = 40, 10
	for range refused {
		b.RetryNew(now)
	}
	for i := range running {
		if !b.Retry(now) {
			t.Fatalf("%d of %d running streams could be sent again after %d refusals of new requests", i, running, refused)
		}
	}
}

// TestSmallBudgetServesNewRequests guards against a small budget whose reserve forbids every retry of a new request.
func TestSmallBudgetServesNewRequests(t *testing.T) {
	var b WindowBudget
	b.Set(0.2, 2, 10*time.Second)
	now := time.Unix(1000, 0)
	b.Request(now)
	if !b.RetryNew(now.Add(10 * time.Second)) {
		t.Error("no retry of a new request is allowed after a whole window")
	}
}

// TestBudgetsOfServices guards against retries to one service that use up the budget of another.
func TestBudgetsOfServices(t *testing.T) {
	var b Budgets
	b.Set(0.2, 4, 10*time.Second)
	now := time.Unix(1000, 0)
	for _, s := range []teaselstream.ServiceID{"a", "b"} {
		b.Request(now, s)
	}
	now = now.Add(10 * time.Second)
	for b.ForService("a").Retry(now) { //nolint:revive // Uses the budget up.
	}
	if !b.ForService("b").Retry(now) {
		t.Error("retries to one service used up those of the other")
	}
}

// TestBudgetOfSecondService guards against a service whose first retries are refused on a VM that has served for a
// while: the budget must refill from the first request to any service.
func TestBudgetOfSecondService(t *testing.T) {
	var b Budgets
	b.Set(0.2, 4, 10*time.Second)
	now := time.Unix(1000, 0)
	b.Request(now, "a")
	now = now.Add(8 * time.Second)
	b.Request(now, "b")
	if !b.ForService("b").Retry(now) {
		t.Error("no retry is allowed 8 s after the first request to any service")
	}
}

// TestBudgetsRefillFromStart guards against a VM that may not retry the first failures after its start (pattern: a fleet of
// hundreds of VMs starts before its traffic, and each VM has a budget of one or two retries a window). Of the idempotent calls
// that a replica answered with an error, half failed for that reason.
func TestBudgetsRefillFromStart(t *testing.T) {
	const window = 10 * time.Second
	started := time.Unix(1000, 0)
	var b Budgets
	// An equal share of 774 retries for 295 VMs.
	b.Set(0.17, 2.2, window)
	b.Start(started)
	first := started.Add(14 * time.Second)
	b.Request(first, "orders")
	if !b.ForService("orders").Retry(first) {
		t.Error("no retry is allowed 14 s after the start, want the refill of a whole window")
	}
	if b.ForService("orders").Retry(first) {
		t.Error("a second retry is allowed at once, want at most half of a window's allowance")
	}
}

// Guards against a number of retries left that differs from the retries that are allowed then.
func TestWindowBudgetLeft(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, begun := range []bool{true, false} {
		for _, allowance := range []float64{0, 1, 3, 40} {
			b := &WindowBudget{}
			b.Set(0.2, allowance, 10*time.Second)
			for i := range 30 {
				b.Request(now.Add(time.Duration(i) * 500 * time.Millisecond))
			}
			at := now.Add(15 * time.Second)
			left, n := b.Left(at, begun), 0
			for begun && b.Retry(at) || !begun && b.RetryNew(at) {
				n++
			}
			if left != n {
				t.Errorf("begun %t, allowance %.0f: Left() = %d, but %d retries are allowed", begun, allowance, left, n)
			}
		}
	}
}
