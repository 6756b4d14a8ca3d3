package kvsim

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream"
)

// call returns the status, revision and body of one call; the status is 0 if the connection breaks.
func call(t *testing.T, base, method, path, body string) (int, string, string) {
	t.Helper()
	q, err := http.NewRequest(method, base+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, "", ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header.Get("Store-Revision"), string(data)
}

func serve(t *testing.T) (*Handler, string) {
	t.Helper()
	h := NewHandler()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return h, s.URL
}

// Guards against a compare-and-swap that succeeds for two writers, and against LoseAnswers that drops the write too.
func TestCompareAndSwap(t *testing.T) {
	h, base := serve(t)
	steps := []struct {
		method, path, body string
		status             int
		revision           string
	}{
		{"GET", "/v1/kv/env/a/prod", "", 404, ""},
		{"PUT", "/v1/kv/env/a/prod?revision=0", "one", 200, "1"},
		{"PUT", "/v1/kv/env/a/prod?revision=0", "other", 409, "1"},
		{"PUT", "/v1/kv/env/a/prod?revision=1", "two", 200, "2"},
		{"GET", "/v1/kv/env/a/prod", "", 200, "2"},
		{"PUT", "/v1/kv/env/a/prod", "none", 400, ""},
		{"PUT", "/v1/kv/b?revision=0&lease=9", "x", 409, "0"},
		{"PUT", "/v1/kv/b?revision=0", strings.Repeat("x", maxValueBytes+1), 413, ""},
		{"POST", "/v1/faults", `{"LoseAnswers":1}`, 200, ""},
		{"PUT", "/v1/kv/b?revision=0", "lost", 0, ""},
		{"GET", "/v1/kv/b", "", 200, "3"},
		{"POST", "/v1/faults", `{"Down":true,"Prefix":"order/"}`, 200, ""},
		{"GET", "/v1/kv/order/1/head", "", 503, ""},
		{"GET", "/v1/kv/b", "", 200, "3"},
		{"POST", "/v1/faults", `{"Unknown":true}`, 400, ""},
	}
	for i, s := range steps {
		status, rev, _ := call(t, base, s.method, s.path, s.body)
		if status != s.status || rev != s.revision {
			t.Errorf("step %d: %s %s = %d revision %q, want %d revision %q", i, s.method, s.path, status, rev, s.status, s.revision)
		}
	}
	if st := h.Stats(); st.Writes != 7 || st.Conflicts != 1 || st.Refused != 1 {
		t.Errorf("stats = %+v, want 7 writes, 1 conflict and 1 refusal", st)
	}
}

// Guards against a watch that misses a change or stays pending during an outage.
func TestWatch(t *testing.T) {
	h, base := serve(t)
	for _, c := range []struct {
		name   string
		act    func()
		status int
		body   string
	}{
		{"change", func() { _, _ = h.Store.CompareAndSwap("k", 0, []byte("v"), 0) }, 200, "v"},
		{"outage", func() { h.Faults.Set(Faults{Down: true}) }, 503, "{\"Error\":\"the store is unavailable\"}\n"},
	} {
		done := make(chan struct{})
		go func() {
			defer close(done)
			rec, _, _ := h.Store.Get("k")
			path := "/v1/kv/k?wait=30s&after=" + map[bool]string{true: "0", false: "1"}[rec.Revision == 0]
			if status, _, body := call(t, base, "GET", path, ""); status != c.status || body != c.body {
				t.Errorf("%s: watch = %d %q, want %d %q", c.name, status, body, c.status, c.body)
			}
		}()
		for h.Stats().Waiting == 0 {
			time.Sleep(time.Millisecond)
		}
		c.act()
		<-done
	}
}

// Guards against records that outlive their lease, and against an expired lease that can be extended.
func TestLeaseLapses(t *testing.T) {
	now := time.Unix(0, 0)
	s := &Store{Now: func() time.Time { return now }}
	id := s.Grant(5 * time.Second)
	if _, err := s.CompareAndSwap("k", 0, nil, id); err != nil {
		t.Fatal(err)
	}
	now = now.Add(4 * time.Second)
	if !s.KeepAlive(id) {
		t.Error("KeepAlive before the end = false, want true")
	}
	now = now.Add(5 * time.Second)
	if _, ok, _ := s.Get("k"); ok || s.KeepAlive(id) {
		t.Error("the record or the lease is still there after the time to live")
	}
	if rev, err := s.CompareAndSwap("k", 0, nil, 0); err != nil || rev != teaselstream.Revision(2) {
		t.Errorf("write after the lease has expired = %d, %v; want revision 2", rev, err)
	}
}
