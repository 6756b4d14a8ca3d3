package call

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/order"
	"github.com/teaselstream/teaselstream/order/fleet"
	"github.com/teaselstream/teaselstream/wire"
)

// mapStore is an in-memory store; down makes it fail every call.
type mapStore struct {
	teaselstream.Store
	mu   sync.Mutex
	data map[string]teaselstream.Record
	down bool
}

func (s *mapStore) Get(_ context.Context, key string) (teaselstream.Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.data[key]
	switch {
	case s.down:
		return r, teaselstream.ErrUnavailable
	case !ok:
		return r, teaselstream.ErrNotFound
	}
	return r, nil
}

func (s *mapStore) CompareAndSwap(_ context.Context, key string, expected teaselstream.Revision, value []byte, _ teaselstream.LeaseID) (teaselstream.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return 0, teaselstream.ErrUnavailable
	case s.data[key].Revision != expected:
		return 0, teaselstream.ErrConflict
	}
	s.data[key] = teaselstream.Record{Value: value, Revision: expected + 1}
	return expected + 1, nil
}

// vms starts the handlers of two VMs that send messages to each other.
func vms(t *testing.T, st *mapStore, svc teaselstream.Service) [2]*Handler {
	t.Helper()
	var hs [2]*Handler
	names := []teaselstream.VMID{"vm1", "vm2"}
	for n, name := range names {
		s := snapshot()
		s.VM = name
		s.Peers = []teaselstream.PeerView{{VM: names[1-n], Alive: true}}
		send := func(_ teaselstream.VMID, m wire.Message) error {
			go hs[1-n].Receive(name, m)
			return nil
		}
		hs[n] = New(Options{Snapshot: func() *teaselstream.Snapshot { return s }, Service: svc, Store: st, VM: name, Incarnation: 1, SendPeer: send})
	}
	t.Cleanup(func() {
		for _, h := range hs {
			h.Close()
		}
		goleak.VerifyNone(t)
	})
	return hs
}

// TestResendOnOtherVM guards against a call that runs twice because it is sent again to the other VM, in either order.
func TestResendOnOtherVM(t *testing.T) {
	var mu sync.Mutex
	ran := 0
	svc := fakeService(func(string) (teaselstream.ServiceAnswer, error) {
		mu.Lock()
		defer mu.Unlock()
		ran++
		return teaselstream.ServiceAnswer{Status: 201, Body: fmt.Append(nil, ran)}, nil
	})
	hs := vms(t, &mapStore{data: map[string]teaselstream.Record{}}, svc)
	for n := range 8 {
		c := teaselstream.ServiceCall{Method: "POST", Path: "/orders", Key: fleet.NewKey(time.Now(), n), Body: []byte("b")}
		want := fmt.Sprint(n + 1)
		for m := range 2 {
			a, err := hs[(n+m)%2].Handle(t.Context(), c, "team", "app", time.Now().Add(time.Minute))
			if err != nil || string(a.Body) != want {
				t.Fatalf("call %d on VM %d = %s, %v, want answer %s", n, m, a.Body, err, want)
			}
		}
	}
	for _, h := range hs {
		if err := h.WaitForOrders(t.Context()); err != nil {
			t.Error(err)
		}
	}
}

// TestStoreDown guards against a call that is sent without a claim while the store is down, and a wrong code or outcome.
func TestStoreDown(t *testing.T) {
	svc := fakeService(func(string) (teaselstream.ServiceAnswer, error) {
		t.Error("a call is sent without a claim")
		return teaselstream.ServiceAnswer{}, nil
	})
	s := snapshot()
	h := New(Options{Snapshot: func() *teaselstream.Snapshot { return s }, Service: svc, Store: &mapStore{down: true}, VM: "vm1", Incarnation: 1})
	defer h.Close()
	c := teaselstream.ServiceCall{Method: "POST", Path: "/orders", Key: fleet.NewKey(time.Now(), 1)}
	_, err := h.Handle(t.Context(), c, "team", "app", time.Now().Add(50*time.Millisecond))
	var e *teaselstream.Error
	if !errors.As(err, &e) || e.Code != teaselstream.CodeStoreUnavailable || e.Outcome != teaselstream.NotRun {
		t.Errorf("Handle = %v, want StoreUnavailable (NotRun)", err)
	}
}

// TestFencedCall guards against a fencing refusal that is returned as the answer of the call, and against an outcome
// other than the one that the status look-up found.
func TestFencedCall(t *testing.T) {
	for found, want := range map[bool]teaselstream.Outcome{true: teaselstream.Ran, false: teaselstream.NotRun} {
		s := snapshot()
		s.Document.Services["app"] = teaselstream.ServiceSpec{Name: "app", ChecksFencing: true, StatusLookup: "/orders/{key}"}
		svc := callService(func(c teaselstream.ServiceCall) (teaselstream.ServiceAnswer, error) {
			switch {
			case c.Method == "POST":
				return teaselstream.ServiceAnswer{Status: 409}, nil
			case c.Fencing != 3:
				t.Errorf("the look-up of claim 2 carries fencing number %d, want 3", c.Fencing)
			case found:
				return teaselstream.ServiceAnswer{Status: 200}, nil
			}
			return teaselstream.ServiceAnswer{Status: 404}, nil
		})
		h := New(Options{Snapshot: func() *teaselstream.Snapshot { return s }, Service: svc, Store: &mapStore{data: map[string]teaselstream.Record{}}, VM: "vm1", Incarnation: 1})
		c := teaselstream.ServiceCall{Method: "POST", Path: "/orders", Key: fleet.NewKey(time.Now(), 1)}
		_, err := h.Handle(t.Context(), c, "team", "app", time.Now().Add(time.Minute))
		h.Close()
		var e *teaselstream.Error
		if !errors.As(err, &e) || e.Outcome != want {
			t.Errorf("found %v: Handle = %v, want outcome %v", found, err, want)
		}
	}
}

// TestSendWindow guards against a call that is sent after its send window, by a process that was paused meanwhile.
func TestSendWindow(t *testing.T) {
	svc := callService(func(teaselstream.ServiceCall) (teaselstream.ServiceAnswer, error) {
		t.Error("a call is sent after its window")
		return teaselstream.ServiceAnswer{}, nil
	})
	h := New(Options{Snapshot: snapshot, Service: svc, Store: &mapStore{}, VM: "vm1", Incarnation: 1})
	defer h.Close()
	m := h.runner.send(order.Send{Service: snapshot().Document.Services["app"], Until: time.Now().Add(-time.Second)})
	if a := m.(order.Answered); !errors.Is(a.Err, teaselstream.ErrUnavailable) {
		t.Errorf("send after its window = %v, want ErrUnavailable", a.Err)
	}
}

type callService func(teaselstream.ServiceCall) (teaselstream.ServiceAnswer, error)

func (f callService) Call(_ context.Context, _ string, c teaselstream.ServiceCall) (teaselstream.ServiceAnswer, error) {
	return f(c)
}
