package svcsim

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against a simulator that hides repeated orders, undoes an order whose response it drops, or ignores fencing numbers.
func TestOrders(t *testing.T) {
	var orders OrderStore
	h := NewHandler(&orders, Options{Name: "s1", ChecksFencing: true})
	s := httptest.NewServer(h)
	defer s.Close()
	call := func(method, path, key, fencing string) int {
		q, err := http.NewRequest(method, s.URL+path, strings.NewReader("body"))
		if err != nil {
			t.Fatal(err)
		}
		q.Header.Set("Idempotency-Key", key)
		q.Header.Set("Fencing-Number", fencing)
		resp, err := http.DefaultClient.Do(q)
		if err != nil {
			return 0
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	for i, c := range []struct {
		faults                     Faults
		method, path, key, fencing string
		status, count              int
	}{
		{Faults{}, "POST", "/orders", "k1", "1", 201, 1},
		{Faults{}, "POST", "/orders", "k1", "1", 201, 2},
		{Faults{LoseAnswers: 1}, "POST", "/orders", "k2", "1", 0, 1},
		{Faults{DropConnections: 1}, "POST", "/orders", "k3", "1", 0, 0},
		{Faults{}, "GET", "/orders/k3", "k3", "2", 404, 0},
		{Faults{}, "POST", "/orders", "k3", "1", 409, 0},
		{Faults{}, "POST", "/orders", "", "1", 400, 0},
		{Faults{}, "GET", "/items/7", "", "", 200, 0},
	} {
		h.Faults.Set(c.faults)
		status := call(c.method, c.path, c.key, c.fencing)
		if o, _ := orders.Order(c.key); status != c.status || o.Count != c.count {
			t.Errorf("call %d: %s %s key %q = %d, ran %d times; want %d, %d times", i, c.method, c.path, c.key, status, o.Count, c.status, c.count)
		}
	}
}
