package call

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/order"
)

type fakeService func(address string) (teaselstream.ServiceAnswer, error)

func (f fakeService) Call(_ context.Context, address string, _ teaselstream.ServiceCall) (teaselstream.ServiceAnswer, error) {
	return f(address)
}

func snapshot() *teaselstream.Snapshot {
	s := &teaselstream.Snapshot{VM: "vm1", Servers: map[teaselstream.ServerID]teaselstream.ServerView{}}
	spec := teaselstream.ServiceSpec{Name: "app", Idempotent: []string{"GET /", "POST /status"}}
	s.Document = &teaselstream.Document{Services: map[teaselstream.ServiceID]teaselstream.ServiceSpec{"app": spec}}
	for n := range 3 {
		id := teaselstream.ServerID(fmt.Sprint("s", n))
		v := teaselstream.Server{Name: id, Kind: teaselstream.KindService, Service: "app", Address: string(id)}
		s.Servers[id] = teaselstream.ServerView{Server: v, Weight: 1}
	}
	return s
}

// TestIdempotentPatterns guards against retries of a non-idempotent call whose path resembles an idempotent one.
func TestIdempotentPatterns(t *testing.T) {
	patterns := []string{"GET /", "POST /status"}
	for path, want := range map[string]bool{
		"/status": true, "/status/1": true, "/status?x=1": true,
		"/statusx": false, "/status/../orders": false, "/status/%2e%2e/orders": false,
		"/status//orders": false, "/orders": false, "/status/;/../orders": false, "/status/a%20b": true, "/status%2forders": false, "/status/%252e": false,
	} {
		if got := order.Idempotent(patterns, teaselstream.ServiceCall{Method: "POST", Path: path}); got != want {
			t.Errorf("Idempotent(POST %s) = %v, want %v", path, got, want)
		}
	}
}

// TestRetries guards against retries on the same replica and a wrong code or outcome.
func TestRetries(t *testing.T) {
	lost := fmt.Errorf("read: %w", teaselstream.ErrOutcomeUnknown)
	refused := fmt.Errorf("dial: %w", teaselstream.ErrUnavailable)
	for name, tc := range map[string]struct {
		errs    []error
		code    teaselstream.Code
		outcome teaselstream.Outcome
		calls   int
	}{
		"answer after two losses": {errs: []error{lost, refused, nil}, calls: 3},
		"refused by all":          {errs: []error{refused, refused, refused}, code: teaselstream.CodeServerLost, outcome: teaselstream.NotRun, calls: 3},
		"one loss":                {errs: []error{refused, lost, refused}, code: teaselstream.CodeServerLost, outcome: teaselstream.Unknown, calls: 3},
	} {
		t.Run(name, func(t *testing.T) {
			used := map[string]bool{}
			n := 0
			f := fakeService(func(a string) (teaselstream.ServiceAnswer, error) {
				if used[a] {
					t.Errorf("server %s is used twice", a)
				}
				used[a] = true
				n++
				return teaselstream.ServiceAnswer{Status: 200}, tc.errs[n-1]
			})
			h := New(Options{Snapshot: snapshot, Service: f, Rand: rand.New(rand.NewPCG(1, 1))})
			_, err := h.Handle(t.Context(), teaselstream.ServiceCall{Method: "GET", Path: "/x"}, "team", "app", time.Now().Add(time.Minute))
			var e *teaselstream.Error
			if errors.As(err, &e) != (tc.code != "") || (e != nil && (e.Code != tc.code || e.Outcome != tc.outcome)) || n != tc.calls {
				t.Errorf("Handle = %v after %d calls, want code %q, outcome %v, %d calls", err, n, tc.code, tc.outcome, tc.calls)
			}
		})
	}
}

// TestPick guards against new calls to leaving servers and against uneven load.
func TestPick(t *testing.T) {
	s := snapshot()
	v := s.Servers["s0"]
	v.State = teaselstream.Leaving
	s.Servers["s0"] = v
	var o inFlightCounts
	got := map[teaselstream.ServerID]int{}
	for range 10 {
		w, ok := o.pick(s, "app", rand.New(rand.NewPCG(1, 1)), nil)
		if !ok {
			t.Fatal("pick found no server")
		}
		got[w.Name]++
	}
	if got["s0"] != 0 || got["s1"] != 5 || got["s2"] != 5 {
		t.Errorf("calls per server = %v, want s1:5 s2:5", got)
	}
}
