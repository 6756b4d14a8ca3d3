package front

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"go.uber.org/goleak"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/envdoc"
	"github.com/teaselstream/teaselstream/hengin"
	"github.com/teaselstream/teaselstream/invar"
	"github.com/teaselstream/teaselstream/route"
	"github.com/teaselstream/teaselstream/serve"
	"github.com/teaselstream/teaselstream/shadow"
)

var (
	idPattern      = regexp.MustCompile(`vm-[A-Z0-9]{8}-[0-9a-z]+`)
	createdPattern = regexp.MustCompile(`"created":\d+`)
)

// harness is a Server on loopback addresses that uses a scripted engine.
type harness struct {
	address  string
	operator string
	recorder *invar.Recorder
	shadow   *shadow.Sampler
	stop     func()
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	data, err := os.ReadFile("testdata/doc.ini")
	if err != nil {
		t.Fatal(err)
	}
	doc, err := envdoc.Parse("doc.ini", data)
	if err != nil {
		t.Fatal(err)
	}
	engine := httptest.NewServer(scriptedEngine{})
	// All scripts run with a document on trial, which must not affect any answer.
	trial, err := envdoc.Parse("trial.ini", []byte(strings.Replace(string(data), "\nPriority = 1", "\nPriority = 2", 1)))
	if err != nil {
		t.Fatal(err)
	}
	trial.Digest = "trial"
	snap := &teaselstream.Snapshot{Document: doc, Trial: trial, Servers: map[teaselstream.ServerID]teaselstream.ServerView{}}
	for name, s := range doc.Servers {
		s.Address = engine.Listener.Addr().String()
		snap.Servers[name] = teaselstream.ServerView{Server: s, Weight: 1, Slowdown: 1, Local: true}
	}
	current := func() *teaselstream.Snapshot { return snap }
	client := &hengin.Client{}
	// Each reading of the clock advances it by 1 s, so that every request is sampled.
	var seconds atomic.Int64
	h := &harness{recorder: &invar.Recorder{}, shadow: shadow.NewSampler(func() time.Time { return time.Unix(seconds.Add(1), 0) })}
	models := serve.New(serve.Options{Snapshot: current, Engine: client, Invariants: h.recorder, Planner: route.NewCheapest(route.Options{})})
	ctx, cancel := context.WithCancel(context.Background())
	var ran sync.WaitGroup
	ran.Go(func() { models.Run(ctx) })
	ran.Go(func() { h.shadow.Run(ctx) })
	f := New(Options{
		VM: "vm", Snapshot: current, Models: models, ServiceCaller: echoServices{}, Shadow: h.shadow, OperatorStatus: echoOperator{},
		OperatorKeyDigest: digestOf([]byte("operator-key")), Metrics: http.NotFoundHandler(),
		MaxHeader: 2 << 10, MaxBody: 4 << 10, ReadTimeout: 500 * time.Millisecond,
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	o, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h.address, h.operator = l.Addr().String(), o.Addr().String()
	served := make(chan error, 2)
	go func() { served <- f.Serve(l) }()
	go func() { served <- f.ServeOperator(o) }()
	h.stop = func() {
		if err := errors.Join(f.Shutdown(context.Background()), <-served, <-served); err != nil {
			t.Errorf("stop: %v", err)
		}
		cancel()
		ran.Wait()
		client.Close()
		engine.CloseClientConnections()
		engine.Close()
	}
	return h
}

// Guards against wrong answers, statuses and outcomes in the callers' API, also after lost stages and malformed input.
func TestCallers(t *testing.T) {
	h := newHarness(t)
	defer h.stop()
	datadriven.Walk(t, "testdata/callers", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			raw, address := d.Input, h.address
			if d.Cmd != "raw" {
				raw = request(t, d)
			}
			if d.Cmd == "operator" {
				address = h.operator
			}
			return roundTrip(t, address, raw, d.HasArg("half-close"))
		})
	})
	if v := h.recorder.Found(); len(v) > 0 {
		t.Errorf("violations = %v, want none", v)
	}
}

// request returns the HTTP request for a script, which holds a request line, headers, an empty line and a body. It adds
// the missing standard headers and replaces PAD by the number of characters in the argument "pad".
func request(t *testing.T, d *datadriven.TestData) string {
	head, body, _ := strings.Cut(d.Input, "\n\n")
	var n int
	if d.HasArg("pad") {
		d.ScanArgs(t, "pad", &n)
		body = strings.Replace(body, "PAD", strings.Repeat("x", n), 1)
		head = strings.Replace(head, "PAD", strings.Repeat("x", n), 1)
	}
	line, headers, _ := strings.Cut(head, "\n")
	if !strings.Contains(headers, "Authorization") {
		headers += "\nAuthorization: Bearer alpha-key"
	}
	head = line + " HTTP/1.1\nHost: test\nConnection: close\n" + strings.TrimSpace(headers)
	if body != "" && !strings.Contains(headers, "Content-Length") {
		head += fmt.Sprintf("\nContent-Length: %d", len(body))
	}
	return strings.ReplaceAll(head, "\n", "\r\n") + "\r\n\r\n" + body
}

func roundTrip(t *testing.T, address, raw string, halfClose bool) string {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	// The server may answer and close the connection before it has read a request that is too large.
	_, _ = io.WriteString(c, raw)
	if halfClose {
		if err := c.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
	}
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "no answer\n"
	}
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(a.Body)
	out := fmt.Sprintf("%d %s\n", a.StatusCode, a.Header.Get("Content-Type"))
	for _, k := range []string{"Retry-After", "Allow"} {
		if v := a.Header.Get(k); v != "" {
			out += k + ": " + v + "\n"
		}
	}
	text := idPattern.ReplaceAllString(string(body), "ID")
	text = createdPattern.ReplaceAllString(text, `"created":0`)
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		if line != "" {
			out += line + "\n"
		}
	}
	if err != nil {
		out += "body cut\n"
	}
	return out
}

// TestMain ignores the background goroutines that the HTTP library never stops.
func TestMain(m *testing.M) {
	const library = "github.com/valyala/fasthttp."
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction(library+"updateServerDate.func1"),
		goleak.IgnoreAnyFunction(library+"(*workerPool).Start.func2"), goleak.IgnoreAnyFunction(library+"(*Client).mCleaner"),
		goleak.IgnoreAnyFunction(library+"(*HostClient).connsCleaner"))
}

// Guards against requests that are not sampled for the trial, or sampled without the key, model, service or options that
// decide how they are treated.
func TestShadowSamples(t *testing.T) {
	h := newHarness(t)
	defer h.stop()
	head := " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer "
	body := `{"model":"large","prompt":"a b"}`
	for i, raw := range []string{
		"GET /v1/models" + head + "wrong\r\n\r\n",
		"GET /svc/orders/x" + head + "alpha-key\r\n\r\n",
		"GET /svc/none/x" + head + "alpha-key\r\n\r\n",
		fmt.Sprintf("POST /v1/completions%salpha-key\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body),
	} {
		roundTrip(t, h.address, raw, false)
		for h.shadow.Counts("trial").Evaluated <= uint64(i) {
			time.Sleep(time.Millisecond)
		}
	}
	got := h.shadow.Counts("trial")
	if got.AdmittedByBoth != 2 || got.RefusedByBoth != 2 || got.ChangedPriority != 1 || got.ChangedRoutes != 0 {
		t.Errorf("counts %+v, want 2 admitted, 2 refused and 1 other priority", got)
	}
}

// Guards against a team's rate limit that applies to only one kind of request, or also to other teams.
func TestRate(t *testing.T) {
	h := newHarness(t)
	defer h.stop()
	get := func(path, key string) string {
		return roundTrip(t, h.address, "GET "+path+" HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer "+key+"\r\n\r\n", false)
	}
	if a := get("/v1/models", "slow-key"); !strings.HasPrefix(a, "200 ") {
		t.Errorf("the first request is answered with %s", a)
	}
	for _, path := range []string{"/v1/models", "/svc/orders/x"} {
		a := get(path, "slow-key")
		if !strings.HasPrefix(a, "429 ") || !strings.Contains(a, "Retry-After: ") || !strings.Contains(a, `"Code":"OverShare"`) || !strings.Contains(a, `"Outcome":"NotRun"`) {
			t.Errorf("%s over the rate is answered with %s", path, a)
		}
	}
	if a := get("/v1/models", "alpha-key"); !strings.HasPrefix(a, "200 ") {
		t.Errorf("another team is answered with %s", a)
	}
}
