package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/crash"
	"github.com/teaselstream/teaselstream/fleet"
)

// Guards against a server that ends in the middle of a stream and goes on counting against the servers on which the stream may run: the
// stream then waited for a silent second server (soak seed 2043). Its request is not one that crashes servers.
func TestEndedServerIsReported(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		defer func() { _ = l.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nAttempt: me\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"+
			"24\r\nid: 1\ndata\n\nid: 2\ndata\n\nid: 3\ndata\n\n\r\n")
	}()
	v := handlerView(l.Addr().String())
	h := newHandler(func() *fleet.View { return v })
	ended, lost := make(chan fleet.Unreachable, 8), make(chan crash.Lost, 8)
	h.Post = func(m teaselstream.Msg) {
		switch m := m.(type) {
		case fleet.Unreachable:
			if m.Ended {
				ended <- m
			}
		case crash.Lost:
			lost <- m
		}
	}
	_, gate := startServer(t, h.Serve)
	c, err := net.Dial("tcp", gate)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if got := wholeAnswer(t, c, bufio.NewReader(c), "/once"); looksComplete(got) {
		t.Errorf("a stream that broke off looks complete: %q", got)
	}
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		t.Error("the server's end is not reported")
	}
	if len(lost) > 0 {
		t.Error("the request is reported as one that crashes servers")
	}
}
