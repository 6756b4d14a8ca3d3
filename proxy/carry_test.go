package proxy

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/chain"
	"github.com/teaselstream/teaselstream/detour"
	"github.com/teaselstream/teaselstream/fleet"
)

// firstPeer is a source of random numbers that always chooses the first VM.
type firstPeer struct{}

func (firstPeer) Float64() float64 { return 0 }
func (firstPeer) IntN(int) int     { return 0 }

// carryDialect decodes each request as that with the id "me".
type carryDialect struct{ testDialect }

func (carryDialect) Call(http.Header) (teaselstream.CallHead, error) {
	return teaselstream.CallHead{Attempt: "me"}, nil
}

// testVM returns a handler that knows one server, is isolated or not, and sees the other VM at an address.
func testVM(isolated bool, server *fleet.Member, relay string) *Handler {
	peers := []fleet.Peer{{Name: "vm-a", Domain: "near"}, {Name: "vm-b", Domain: "near", Relay: relay}}
	return &Handler{
		Dialect: carryDialect{}, Log: slog.New(slog.DiscardHandler), Planner: &chain.Planner{}, Post: func(teaselstream.Msg) {},
		View: func() *fleet.View {
			return &fleet.View{Members: map[teaselstream.ServerID]*fleet.Member{server.ID: server}}
		},
		Detour: &detour.Chooser{
			Self: "vm-a", Isolated: func() bool { return isolated }, Peers: func() []fleet.Peer { return peers }, Rand: firstPeer{},
		},
	}
}

// serveCarry serves exchanges with a handler and returns its address.
func serveCarry(t *testing.T, h *Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &Server{Serve: h.Carry, Limits: func() teaselstream.EdgeLimits { return teaselstream.EdgeLimits{} }, Log: h.Log}
	go func() { _ = s.Run(l) }()
	return l.Addr().String()
}

// Guards against a request that ran and counts as not sent, or the other way round, when it goes through another VM (TWICE, REFUSED);
// against answers that end early and look complete (MIXED); and against exchanges that go on to a third VM.
func TestExchangeThroughVM(t *testing.T) {
	const mine = "HTTP/1.1 200 OK\r\nAttempt: me\r\nContent-Length: 4\r\n\r\nmine"
	for _, x := range []struct {
		name     string
		response string
		// isolated, stopping and incarnation are those of the VM that carries the exchange.
		isolated, stopping bool
		incarnation        teaselstream.Incarnation
		serverEnded        bool
		want               string
		notSent            bool
		withheld           bool
	}{
		{name: "whole", response: mine, incarnation: 1, want: "mine"},
		{name: "chunked", response: "HTTP/1.1 200 OK\r\nAttempt: me\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmine\r\n0\r\n\r\n", incarnation: 1, want: "mine"},
		{name: "ends with the connection", response: "HTTP/1.1 200 OK\r\nAttempt: me\r\n\r\nmineCLOSE", incarnation: 1, want: "mine"},
		{name: "server states a result of the VM", response: strings.Replace(mine, "Attempt", "Detour-Result: NotSent\r\nAttempt", 1), incarnation: 1, want: "mine"},
		{name: "ends early", response: "HTTP/1.1 200 OK\r\nAttempt: me\r\nContent-Length: 9\r\n\r\nmineCLOSE", incarnation: 1},
		{name: "chunks end early", response: "HTTP/1.1 200 OK\r\nAttempt: me\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmineCLOSE", incarnation: 1},
		{name: "no answer", response: "", incarnation: 1},
		{name: "answer to another request", response: "HTTP/1.1 200 OK\r\nAttempt: you\r\nContent-Length: 4\r\n\r\nmineCLOSE", incarnation: 1},
		{name: "server has ended", incarnation: 1, serverEnded: true, notSent: true},
		{name: "VM reaches no server", response: mine, isolated: true, incarnation: 1, notSent: true},
		{name: "VM stops", response: mine, stopping: true, incarnation: 1, notSent: true},
		{name: "server has restarted", response: mine, incarnation: 2, notSent: true, withheld: true},
	} {
		t.Run(x.name, func(t *testing.T) {
			to := &fleet.Member{Replica: teaselstream.Replica{ID: "a", Incarnation: 1, Address: rawServer(t, x.response)}}
			if x.serverEnded {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				to.Address = l.Addr().String()
				_ = l.Close()
			}
			known := &fleet.Member{Replica: to.Replica}
			known.Incarnation = x.incarnation
			b := testVM(x.isolated, known, "127.0.0.1:1")
			if x.stopping {
				b.Stop(time.Now())
			}
			got, err := sendTo(t, testVM(true, to, serveCarry(t, b)), to)
			if got != x.want || (err == nil) != (x.want != "") || err != nil && notSent(err) != x.notSent || errors.Is(err, ErrWithheld) != x.withheld {
				t.Errorf("answer %q, error %v, not sent %t; want %q, not sent %t", got, err, err != nil && notSent(err), x.want, x.notSent)
			}
		})
	}
}

// Guards against requests that reach the server changed, or with headers of the protocol between VMs (UNASKED), and against a server
// that goes on after the sender has left (GONE).
func TestCarriedRequest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	got := make(chan *http.Request, 1)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		q, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		body, _ := io.ReadAll(q.Body)
		q.Body = io.NopCloser(strings.NewReader(string(body)))
		got <- q
		_, _ = c.Read(make([]byte, 1))
	}()
	to := &fleet.Member{Replica: teaselstream.Replica{ID: "a", Incarnation: 1, Address: l.Addr().String()}}
	a := testVM(true, to, serveCarry(t, testVM(false, to, "")))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	header := http.Header{"Time-Left": {"900"}, "Path": {"x=0-4"}}
	m := &outgoingRequest{method: "POST", target: "/b?c=%20d", host: "h.example", header: header, body: []byte("{}"), stream: true}
	go func() { _, _ = a.send(ctx, to, reuseNone, m, "me") }()
	q := <-got
	body, _ := io.ReadAll(q.Body)
	if q.Method != "POST" || q.RequestURI != "/b?c=%20d" || q.Host != "h.example" || string(body) != "{}" || q.Header.Get("Time-Left") != "900" || q.Header.Get("Path") != "x=0-4" {
		t.Errorf("server got %s %s of %s, header %v, body %q", q.Method, q.RequestURI, q.Host, q.Header, body)
	}
	for name := range q.Header {
		if detour.IsHeader(name) || name == "Connection" {
			t.Errorf("server got header %s", name)
		}
	}
	cancel()
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Error("connection to the server stays open after the sender has left")
	}
}
