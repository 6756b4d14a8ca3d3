package vmsim

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/teaselstream/teaselstream"
)

// Guards against a list that shows changes before the lag has passed, accepts malformed entries, or answers while it is down.
func TestList(t *testing.T) {
	h := NewHandler(teaselstream.ListEntry{Name: "a", Address: "127.0.0.1:1", State: teaselstream.ListLive})
	serve := func(method, path, body string) int {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		return w.Code
	}
	for i, c := range []struct {
		faults             Faults
		method, path, body string
		status, entries    int
	}{
		{Faults{}, "POST", "/v1/vms", `{"Name":"b","Address":"127.0.0.1:2","State":"Leaving"}`, 200, 2},
		{Faults{}, "POST", "/v1/vms", `{"Name":"c","Address":"127.0.0.1:3","State":"Gone"}`, 400, 2},
		{Faults{LagMillis: 1 << 40}, "DELETE", "/v1/vms/b", "", 204, 2},
		{Faults{}, "GET", "/v1/vms", "", 200, 1},
		{Faults{Down: true}, "GET", "/v1/vms", "", http.StatusServiceUnavailable, 1},
	} {
		h.Faults.Set(c.faults)
		if status := serve(c.method, c.path, c.body); status != c.status || len(h.Entries()) != c.entries {
			t.Errorf("call %d: %s %s = %d with %d entries, want %d with %d", i, c.method, c.path, status, len(h.Entries()), c.status, c.entries)
		}
	}
}
