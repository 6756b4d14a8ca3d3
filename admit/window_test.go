package admit

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/teaselstream/teaselstream"
)

// Guards against more retries in some window than the stated bound, whatever the order of requests and retries, and
// against a restart that begins with a full budget.
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
				// Requests of the window before count too, since the bound takes the larger of the two.
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

// Guards against a VM that spends a whole budget right after each restart.
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

// Guards against a refill that begins only with the first retry: the six streams of one lost server were cut on a VM that
// had served without any retry for 8 s.
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

// Guards against a budget that cannot answer the loss of one server at a fleet of many VMs: a VM with 5 requests a second
// and an allowance of 4 has to send several of them again at the same moment.
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

// Guards against new requests that use up the whole budget while all holders of some layers refuse work: running streams
// that then lost a server were cut, the pattern of a release of six servers beside full parts.
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

// Guards against a budget so small that its reserve would forbid every retry of a new request.
func TestSmallBudgetServesNewRequests(t *testing.T) {
	var b WindowBudget
	b.Set(0.2, 2, 10*time.Second)
	now := time.Unix(1000, 0)
	b.Request(now)
	if !b.RetryNew(now.Add(10 * time.Second)) {
		t.Error("no retry of a new request is allowed after a whole window")
	}
}

// Guards against retries to one service that use up those of another.
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

// Guards against a service whose first retries are refused although the VM has served for a while: its budget refills
// from the first request to any service.
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
