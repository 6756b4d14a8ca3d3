package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream/cmd/stand/plat"
)

// slowBodyBytes is the length of the body of a slowRequest.
const slowBodyBytes = 16

// lateResponse is a response of a stopping gate and when it ended. A gate of a test shares its process, so an answer that ends after the
// gate's exit is one that the exit would have cut.
type lateResponse struct {
	callerResponse
	ended time.Time
	// closes reports whether the response says that the connection closes.
	closes bool
}

// slowRequest is a request of which the caller sends a part first and the rest after a pause.
type slowRequest struct {
	attempt, path string
	// firstAt and restAt are the times since the start of the stop at which both parts are sent.
	firstAt, restAt time.Duration
	// inBody splits the request within its body, otherwise it is split within its header.
	inBody bool
}

func (s *testPlatform) sendSlowly(x slowRequest, began time.Time) (r lateResponse) {
	r.attempt = x.attempt
	defer func() { r.ended = time.Now() }()
	time.Sleep(time.Until(began.Add(x.firstAt)))
	c, err := net.Dial("tcp", s.gateAddresses[0])
	if r.err = err; err != nil {
		return r
	}
	defer func() { _ = c.Close() }()
	q, err := http.NewRequest(http.MethodPost, "http://test.example"+x.path, nil)
	if r.err = err; err != nil {
		return r
	}
	plat.SetRequestHeaders(q.Header, x.attempt, testKey, 20*time.Second)
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: test.example\r\nContent-Length: %d\r\n", x.path, slowBodyBytes)
	if r.err = q.Header.Write(&b); r.err != nil {
		return r
	}
	first, rest := b.String(), "\r\n"+strings.Repeat("b", slowBodyBytes)
	if x.inBody {
		first, rest = first+rest[:2], rest[2:]
	}
	if _, r.err = io.WriteString(c, first); r.err != nil {
		return r
	}
	for x.inBody && time.Until(began.Add(x.restAt)) > time.Second {
		// A pause that is too long would end the request.
		time.Sleep(time.Second)
		if _, r.err = io.WriteString(c, rest[:1]); r.err != nil {
			return r
		}
		rest = rest[1:]
	}
	time.Sleep(time.Until(began.Add(x.restAt)))
	if _, r.err = io.WriteString(c, rest); r.err != nil {
		return r
	}
	p, err := http.ReadResponse(bufio.NewReader(c), q)
	if r.err = err; err != nil {
		return r
	}
	defer func() { _ = p.Body.Close() }()
	body, err := io.ReadAll(p.Body)
	r.status, r.header, r.body, r.complete, r.err, r.closes = p.StatusCode, p.Header, string(body), err == nil, err, p.Close
	return r
}

// checkAnswered reports a request without a whole answer before the gate's exit, and a refusal of a request that ran.
func (s *testPlatform) checkAnswered(t *testing.T, r *lateResponse, exit time.Time) {
	t.Helper()
	if !r.complete || r.ended.After(exit) {
		t.Errorf("request %s: status %d, complete %t, error %v, ended %s after the exit; log of the request:\n%s",
			r.attempt, r.status, r.complete, r.err, r.ended.Sub(exit), s.gateLog.linesAbout(r.attempt))
	}
	if ran := s.fleet.Ran(r.attempt); r.status == http.StatusServiceUnavailable && (ran > 0 || plat.RetryAfter(r.header) <= 0 || !r.closes) {
		t.Errorf("request %s is refused as not run and ran %d times; header %v, closes %t", r.attempt, ran, r.header, r.closes)
	}
}

// Guards against requests that a stopping gate takes, passes on and cuts without an answer at its exit, and against refusals of requests
// that end before it.
func TestLateRequestsOfPlannedStop(t *testing.T) {
	t.Parallel()
	s := startPlatform(t, 1)
	var sent sync.WaitGroup
	answers := make(map[string]*lateResponse)
	send := func(name string, do func() lateResponse) {
		r := &lateResponse{}
		answers[name] = r
		sent.Go(func() { *r = do() })
	}
	began := time.Now().Add(300 * time.Millisecond)
	at := func(after time.Duration, method, path, attempt string) func() lateResponse {
		return func() lateResponse {
			time.Sleep(time.Until(began.Add(after)))
			a := s.doFor(0, method, path, attempt, 20*time.Second)
			return lateResponse{callerResponse: a, ended: time.Now()}
		}
	}
	send("once, before the stop", at(-200*time.Millisecond, http.MethodPost, "/batch/1?ms=15000", "late-1"))
	send("repeatable, before the stop", at(-200*time.Millisecond, http.MethodGet, "/survey/1?ms=15000", "late-2"))
	send("once, in the stop", at(time.Second, http.MethodPost, "/batch/1?ms=15000", "late-3"))
	send("repeatable, in the stop", at(time.Second, http.MethodGet, "/survey/1?ms=15000", "late-4"))
	send("long stream", at(time.Second, http.MethodGet, "/draft/?n=900", "late-5"))
	slow := func(x slowRequest) func() lateResponse { return func() lateResponse { return s.sendSlowly(x, began) } }
	send("long, read late", slow(slowRequest{"late-6", "/batch/1?ms=5000", 2300 * time.Millisecond, 6400 * time.Millisecond, true}))
	send("long, read later", slow(slowRequest{"late-7", "/batch/1?ms=5000", 2300 * time.Millisecond, 2600 * time.Millisecond, false}))
	send("short, read late", slow(slowRequest{"late-8", "/batch/1", 2300 * time.Millisecond, 5 * time.Second, true}))
	time.Sleep(time.Until(began))
	s.stopGates[0]()
	exit := time.Now()
	s.stopGates = nil
	sent.Wait()
	stream := answers["long stream"]
	if stream.status != http.StatusOK || stream.complete && stream.ended.Before(exit) || stream.ended.Before(began.Add(7*time.Second)) {
		t.Errorf("long stream: status %d, complete %t, %s after the start of the stop; want one that lasts until the exit", stream.status, stream.complete, stream.ended.Sub(began))
	}
	delete(answers, "long stream")
	for name, r := range answers {
		t.Logf("%s: status %d, ran %d times, ended %s after the start of the stop", name, r.status, s.fleet.Ran(r.attempt), r.ended.Sub(began))
		s.checkAnswered(t, r, exit)
	}
	if r := answers["short, read late"]; r.status != http.StatusOK {
		t.Errorf("short, read late: status %d, want 200", r.status)
	}
	if r := answers["long, read late"]; r.status != http.StatusServiceUnavailable {
		t.Errorf("long, read late: status %d, want 503", r.status)
	}
}

// Guards against a gate that exits while it reads a request, since it only waits for requests that it has read: the request is passed on
// and cut a moment later.
func TestRequestReadWhileGateExits(t *testing.T) {
	t.Parallel()
	s := startPlatform(t, 1)
	began := time.Now().Add(100 * time.Millisecond)
	var sent sync.WaitGroup
	var r lateResponse
	sent.Go(func() {
		r = s.sendSlowly(slowRequest{"read-1", "/batch/1?ms=600", 2300 * time.Millisecond, 2650 * time.Millisecond, false}, began)
	})
	time.Sleep(time.Until(began))
	s.stopGates[0]()
	exit := time.Now()
	s.stopGates = nil
	sent.Wait()
	s.checkAnswered(t, &r, exit)
	if r.status != http.StatusOK {
		t.Errorf("status %d, error %v, want 200", r.status, r.err)
	}
}

// Guards against a stream that is cut at the exit although its answer has not begun, so that its caller could still be told.
func TestUnbegunStreamOfPlannedStop(t *testing.T) {
	t.Parallel()
	s := startPlatform(t, 1)
	began := time.Now().Add(100 * time.Millisecond)
	var sent sync.WaitGroup
	answers := make([]lateResponse, 3)
	for i := range answers {
		sent.Go(func() {
			time.Sleep(time.Until(began.Add(2300 * time.Millisecond)))
			a := s.doFor(0, http.MethodGet, "/draft/?n=5", fmt.Sprintf("unbegun-%d", i), 20*time.Second)
			answers[i] = lateResponse{callerResponse: a, ended: time.Now()}
		})
	}
	time.AfterFunc(time.Until(began.Add(2200*time.Millisecond)), func() {
		for _, r := range s.modelReplicas {
			r.SetUnresponsive(true)
		}
	})
	time.Sleep(time.Until(began))
	s.stopGates[0]()
	exit := time.Now()
	s.stopGates = nil
	sent.Wait()
	for i := range answers {
		t.Logf("status %d, ended %s after the start of the stop", answers[i].status, answers[i].ended.Sub(began))
		s.checkAnswered(t, &answers[i], exit)
	}
}
