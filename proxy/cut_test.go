package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/admit"
	"github.com/teaselstream/teaselstream/chain"
	"github.com/teaselstream/teaselstream/fleet"
	"github.com/teaselstream/teaselstream/pick"
)

// namedDialect gives every request the id "me".
type namedDialect struct{ testDialect }

func (namedDialect) Call(http.Header) (teaselstream.CallHead, error) {
	return teaselstream.CallHead{Attempt: "me"}, nil
}

// globalRand is the global source of math/rand/v2.
type globalRand struct{}

func (globalRand) Float64() float64 { return rand.Float64() }
func (globalRand) IntN(n int) int   { return rand.IntN(n) }

// scriptedReplica writes the n-th of its texts to the n-th request and the last one to all further ones; it closes or resets the
// connection after each text but those that end with KEEP.
type scriptedReplica struct {
	texts []string
	reset bool
	next  atomic.Int64
	// before is called with the number of each request before it is answered; nil does nothing.
	before func(n int)
}

func (s *scriptedReplica) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		number := int(s.next.Add(1))
		if s.before != nil {
			s.before(number)
		}
		n := min(number, len(s.texts)) - 1
		text, kept := strings.CutSuffix(s.texts[n], "KEEP")
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		if kept {
			continue
		}
		if s.reset {
			// The text has to arrive before the reset, which discards what has not been sent.
			time.Sleep(5 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		return
	}
}

// startReplica starts a replica and returns its address.
func startReplica(t *testing.T, s *scriptedReplica) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return l.Addr().String()
}

// handlerView returns a view in which the route /plain leads to plain replicas, and /once and /resumed to replicas that hold all layers
// of a model; all of them are at the given address.
func handlerView(address string) *fleet.View {
	engine := &teaselstream.EngineSpec{
		Layers: 40, BytesPerLayer: 1e9, CacheBytesPerToken: 1e6, UsualPrompt: 800, UsualAnswer: 200, Step: time.Millisecond,
		ReadPerSecond: 100000, Stride: 3, Kinds: map[teaselstream.Accelerator]teaselstream.AcceleratorSpec{"fast": {Memory: 200e9, Pace: 2, ReadPace: 3}},
	}
	route := func(prefix string, s teaselstream.ServiceID) *teaselstream.Route {
		return &teaselstream.Route{Name: teaselstream.RouteID(prefix), Host: "h", Prefix: prefix, Targets: []teaselstream.Target{{Service: s, Weight: 1}}, Timeout: 3 * time.Second}
	}
	resumed := route("/resumed", "model")
	resumed.Resumable, resumed.MaxServers = true, 2
	v := &fleet.View{
		At: time.Now(), Members: make(map[teaselstream.ServerID]*fleet.Member), Pools: make(map[teaselstream.ServiceID][]*fleet.Member),
		Routing: &teaselstream.Routing{
			Hosts: map[string][]*teaselstream.Route{"h": {resumed, route("/plain", "plain"), route("/once", "model")}},
			Pools: map[teaselstream.ServiceID]*teaselstream.Pool{"plain": {Service: "plain"}, "model": {Service: "model", Engine: engine}},
		},
	}
	for _, s := range []teaselstream.ServiceID{"plain", "model"} {
		for i := range 2 {
			m := &fleet.Member{LoadEstimate: &fleet.LoadEstimate{}, Slowdown: 1}
			m.ID, m.Address, m.Service, m.Slots, m.Accelerator = teaselstream.ServerID(fmt.Sprintf("%s%d", s, i)), address, s, 100, "fast"
			m.Holds = teaselstream.LayerRange{To: engine.Layers}
			v.Members[m.ID] = m
			v.Pools[s] = append(v.Pools[s], m)
		}
	}
	return v
}

// soundReplicas answers all reports: the replicas work, with all layers.
type soundReplicas struct{ teaselstream.ReplicaControl }

func (soundReplicas) Report(context.Context, teaselstream.ServerID, string) (teaselstream.ReplicaReport, error) {
	return teaselstream.ReplicaReport{Holds: teaselstream.LayerRange{To: 40}}, nil
}

// newHandler returns a handler with the given source of views and a large retry budget.
func newHandler(view func() *fleet.View) *Handler {
	budgets := &admit.Budgets{}
	budgets.Start(time.Now().Add(-time.Hour))
	budgets.Set(1, 1000, time.Second)
	return &Handler{
		View: view, Dialect: namedDialect{}, Planner: &chain.Planner{DrainTime: time.Second, Rand: globalRand{}},
		Balancer: &pick.Balancer{Rand: globalRand{}}, Budgets: budgets, Rand: globalRand{}, Log: slog.New(slog.DiscardHandler),
		Post: func(teaselstream.Msg) {}, Replicas: soundReplicas{},
	}
}

// wholeAnswer sends a request and returns the status and body of the answer if it looks complete, or the error that it ends with.
func wholeAnswer(t *testing.T, c net.Conn, r *bufio.Reader, path string) string {
	t.Helper()
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Error(err)
	}
	if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Error(err)
	}
	p, err := http.ReadResponse(r, nil)
	if err != nil {
		return "no answer: " + err.Error()
	}
	b, err := io.ReadAll(p.Body)
	if err != nil {
		return "cut: " + err.Error()
	}
	return fmt.Sprintf("%d %s", p.StatusCode, b)
}

// cutsAtOnce limits the requests at once, since connections have to be established within dialTimeout.
const cutsAtOnce = 8

// cutAnswers holds whole answers of replicas and their bodies.
var cutAnswers = []struct{ name, path, text, want string }{
	{"length", "/plain", "HTTP/1.1 200 OK\r\nAttempt: me\r\nContent-Length: 12\r\n\r\ntwelve bytes", "200 twelve bytes"},
	{"zero first", "/plain", "HTTP/1.1 200 OK\r\nAttempt: me\r\nContent-Length: 05\r\n\r\nbytes", "200 bytes"},
	{"length first", "/plain", "HTTP/1.1 200\r\nContent-Length: 12\r\nAttempt: me\r\n\r\ntwelve bytes", "200 twelve bytes"},
	{"empty", "/plain", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nAttempt: me\r\n\r\n", "200 "},
	{"status without a body", "/plain", "HTTP/1.1 204 No Content\r\nAttempt: me\r\n\r\n", "204 "},
	{"chunks", "/plain", "HTTP/1.1 200 OK\r\nAttempt: me\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nsixteen bytes...\r\n1;x=y\r\n.\r\n0\r\nTrailer: x\r\n\r\n", "200 sixteen bytes...."},
	{"interim", "/plain", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nAttempt: me\r\nContent-Length: 3\r\n\r\nabc", "200 abc"},
	{"whole answer of a model", "/once", "HTTP/1.1 200 OK\r\nAttempt: me\r\nContent-Length: 12\r\n\r\ntwelve bytes", "200 twelve bytes"},
	{"stream", "/once", "HTTP/1.1 200 OK\r\nAttempt: me\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nd\r\nid: 1\ndata\n\n\n\r\nc\r\nid: 2\ndata\n\n\r\n0\r\nTrailer: x\r\n\r\n",
		"200 id: 1\ndata\n\n\nid: 2\ndata\n\n"},
	{"stream with a length", "/once", "HTTP/1.1 200 OK\r\nAttempt: me\r\nContent-Type: text/event-stream\r\nContent-Length: 24\r\n\r\nid: 1\ndata\n\nid: 2\ndata\n\n", "200 id: 1\ndata\n\nid: 2\ndata\n\n"},
}

// looksComplete reports whether a caller takes an answer for a success of the replica.
func looksComplete(got string) bool { return strings.HasPrefix(got, "2") }

// Guards against an answer that breaks off anywhere, in its head too, and that the caller gets as a whole one (MIXED, ORDER).
func TestCutAnywhere(t *testing.T) {
	for _, x := range cutAnswers {
		for _, reset := range []bool{false, true} {
			for _, kept := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/reset=%t/kept=%t", x.name, reset, kept), func(t *testing.T) {
					var all sync.WaitGroup
					places := make(chan bool, cutsAtOnce)
					for n := range len(x.text) {
						places <- true
						all.Go(func() {
							cutAt(t, x.path, x.text[:n], x.text, x.want, reset, kept)
							<-places
						})
					}
					all.Wait()
				})
			}
		}
	}
}

// cutAt sends one request that is answered with a part of an answer, after one that was answered in full if kept is set.
func cutAt(t *testing.T, path, part, whole, want string, reset, kept bool) {
	s := &scriptedReplica{reset: reset, texts: []string{part}}
	if kept {
		s.texts = []string{whole + "KEEP", part}
	}
	address := startReplica(t, s)
	v := handlerView(address)
	_, gate := startServer(t, newHandler(func() *fleet.View { return v }).Serve)
	c, err := net.Dial("tcp", gate)
	if err != nil {
		t.Error(err)
		return
	}
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	if kept {
		if got := wholeAnswer(t, c, r, path); got != want {
			t.Errorf("the whole answer arrives as %q, want %q", got, want)
			return
		}
	}
	if got := wholeAnswer(t, c, r, path); looksComplete(got) {
		t.Errorf("after %q the caller has %q", part, got)
	}
}

const (
	partOfStream = "HTTP/1.1 200 OK\r\nAttempt: me\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nc\r\nid: 1\ndata\n\n\r\n5\r\nid: 2"
	restOfStream = "HTTP/1.1 200 OK\r\nAttempt: me\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nc\r\nid: 2\ndata\n\n\r\n0\r\n\r\n"
)

// Guards against a resumed stream that ends as complete although the answer with the rest of it broke off, in its head too (ORDER).
func TestCutOfResumedStream(t *testing.T) {
	const want = "200 id: 1\ndata\n\nid: 2\ndata\n\n"
	for n := range len(restOfStream) {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d/reset=%t", n, reset), func(t *testing.T) {
				t.Parallel()
				v := handlerView(startReplica(t, &scriptedReplica{reset: reset, texts: []string{partOfStream, restOfStream[:n]}}))
				got := askOnce(t, func() *fleet.View { return v }, "/resumed")
				if looksComplete(got) {
					t.Errorf("after %q the caller has %q", restOfStream[:n], got)
				}
			})
		}
	}
	v := handlerView(startReplica(t, &scriptedReplica{texts: []string{partOfStream, restOfStream}}))
	if got := askOnce(t, func() *fleet.View { return v }, "/resumed"); got != want {
		t.Errorf("the resumed stream is %q, want %q", got, want)
	}
}

// askOnce sends one request to a handler with the given source of views.
func askOnce(t *testing.T, view func() *fleet.View, path string) string {
	t.Helper()
	return askHandler(t, newHandler(view), path)
}

// askHandler sends one request to a handler.
func askHandler(t *testing.T, h *Handler, path string) string {
	t.Helper()
	_, gate := startServer(t, h.Serve)
	c, err := net.Dial("tcp", gate)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	return wholeAnswer(t, c, bufio.NewReader(c), path)
}

// Guards against an answer whose end can't be known, or that is reset before its end, and that the caller gets as a whole one.
func TestUnclearEnds(t *testing.T) {
	const ok, events = "HTTP/1.1 200 OK\r\nAttempt: me\r\n", "HTTP/1.1 200 OK\r\nAttempt: me\r\nContent-Type: text/event-stream\r\n"
	for _, x := range []struct {
		name, path, text string
		reset            bool
		want             string
	}{
		{"closed without a length", "/plain", ok + "\r\nbody", false, "200 body"},
		{"reset without a length", "/plain", ok + "\r\nbody", true, ""},
		{"reset without a length or body", "/plain", ok + "\r\n", true, ""},
		{"two lengths", "/plain", ok + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nbody", false, ""},
		{"two lengths in one line", "/plain", ok + "Content-Length: 3, 4\r\n\r\nbody", false, ""},
		{"same length twice", "/plain", ok + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody", false, "200 body"},
		{"length that is no number", "/plain", ok + "Content-Length: 3x\r\n\r\nbody", false, ""},
		{"negative length", "/plain", ok + "Content-Length: -1\r\n\r\nbody", false, ""},
		{"length with a sign", "/plain", ok + "Content-Length: +4\r\n\r\nbody", false, ""},
		{"no value of the length", "/plain", ok + "Content-Length:\r\n\r\nbody", false, ""},
		{"no name of the length", "/plain", ok + ": 3\r\n\r\nbody", false, ""},
		{"length with a space before its colon", "/plain", ok + "Content-Length : 3\r\n\r\nbody", false, ""},
		{"unknown coding", "/plain", ok + "Transfer-Encoding: chunke\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false, ""},
		{"two codings", "/plain", ok + "Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false, ""},
		{"chunks and a length", "/plain", ok + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false, "200 body"},
		{"chunk without a size", "/plain", ok + "Transfer-Encoding: chunked\r\n\r\n\r\n", false, ""},
		{"chunk longer than its size", "/plain", ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nbody\r\n0\r\n\r\n", false, ""},
		{"switched protocol", "/plain", "HTTP/1.1 101 Switching Protocols\r\nAttempt: me\r\n\r\n" + ok + "Content-Length: 4\r\n\r\nbody", false, "200 body"},
		{"interim only", "/plain", "HTTP/1.1 100 Continue\r\n\r\n", false, ""},
		{"closed stream without a length", "/once", events + "\r\nid: 1\ndata\n\n", false, "200 id: 1\ndata\n\n"},
		{"closed within an event", "/once", events + "\r\nid: 1\ndata\n\nid: 2\ndata\n", false, ""},
		{"closed after a blank of an event", "/once", events + "\r\nid: 1\ndata\n\n\nid: 2", false, ""},
		{"reset stream without a length", "/once", events + "\r\nid: 1\ndata\n\n", true, ""},
		{"stream with two lengths", "/once", events + "Content-Length: 12\r\nContent-Length: 24\r\n\r\nid: 1\ndata\n\nid: 2\ndata\n\n", false, ""},
		{"length within an event", "/once", events + "Content-Length: 19\r\n\r\nid: 1\ndata\n\nid: 2\ndata\n\n", false, ""},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			v := handlerView(startReplica(t, &scriptedReplica{reset: x.reset, texts: []string{x.text}}))
			got := askOnce(t, func() *fleet.View { return v }, x.path)
			if looksComplete(got) && got != x.want || x.want != "" && got != x.want {
				t.Errorf("the caller has %q, want %q", got, x.want)
			}
		})
	}
}
