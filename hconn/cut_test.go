package hconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/teaselstream/teaselstream"
)

// answerWith serves the n-th connection with the n-th text; each request on it gets its text, and a text that does not end with KEEP
// also the end of the connection, as a reset if wanted.
func answerWith(t *testing.T, reset bool, texts ...string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	next := make(chan string, len(texts))
	for _, x := range texts {
		next <- x
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go answerConn(c, reset, next)
		}
	}()
	return l.Addr().String()
}

func answerConn(c net.Conn, reset bool, next chan string) {
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
		text, kept := strings.CutSuffix(<-next, "KEEP")
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		if kept {
			continue
		}
		if reset {
			// The text has to arrive before the reset, which discards what has not been sent.
			time.Sleep(5 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		return
	}
}

func get(client *Client, address string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	q, p := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	q.SetRequestURI("http://" + address + "/")
	err := client.Do(ctx, q, p)
	return strconv.Itoa(p.StatusCode()) + " " + string(p.Body()), err
}

// Guards against an answer of a store or replica that breaks off anywhere, in its head too, and that counts as a whole one.
func TestCutAnywhere(t *testing.T) {
	for _, x := range []struct{ name, text, want string }{
		{"length", "HTTP/1.1 200 OK\r\nName: x\r\nContent-Length: 12\r\n\r\ntwelve bytes", "200 twelve bytes"},
		{"zero first", "HTTP/1.1 200 OK\r\nName: x\r\nContent-Length: 05\r\n\r\nbytes", "200 bytes"},
		{"length first", "HTTP/1.1 200\r\nContent-Length: 12\r\nName: x\r\n\r\ntwelve bytes", "200 twelve bytes"},
		{"empty", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nName: x\r\n\r\n", "200 "},
		{"status without a body", "HTTP/1.1 204 No Content\r\nName: x\r\n\r\n", "204 "},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nsixteen bytes...\r\n1\r\n.\r\n0\r\n\r\n", "200 sixteen bytes...."},
		{"interim", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", "200 abc"},
	} {
		for _, reset := range []bool{false, true} {
			for n := range len(x.text) {
				var client Client
				address := answerWith(t, reset, x.text+"KEEP", x.text[:n])
				if got, err := get(&client, address); err != nil || got != x.want {
					t.Fatalf("%s: the whole answer is %q, %v; want %q", x.name, got, err, x.want)
				}
				if got, err := get(&client, address); !errors.Is(err, teaselstream.ErrOutcomeUnknown) {
					t.Errorf("%s, reset %t: Do() = %q, %v after %q; want %v", x.name, reset, got, err, x.text[:n], teaselstream.ErrOutcomeUnknown)
				}
			}
		}
	}
}

// Guards against an answer whose end can't be known, or that is reset before its end, and that counts as a whole one.
func TestUnclearEnds(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for _, x := range []struct {
		name, text string
		reset      bool
		want       string
	}{
		{"closed without a length", ok + "\r\nbody", false, "200 body"},
		{"reset without a length", ok + "\r\nbody", true, ""},
		{"reset without a length or body", ok + "\r\n", true, ""},
		{"two lengths, the lesser last", ok + "Content-Length: 4\r\nContent-Length: 3\r\n\r\nbody", false, ""},
		{"two lengths, the lesser first", ok + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nbody", false, ""},
		{"two lengths in one line", ok + "Content-Length: 3, 4\r\n\r\nbody", false, ""},
		{"length that is no number", ok + "Content-Length: 3x\r\n\r\nbody", false, ""},
		{"negative length", ok + "Content-Length: -1\r\n\r\nbody", false, ""},
		{"no value of the length", ok + "Content-Length:\r\n\r\nbody", false, ""},
		{"length with a space before its colon", ok + "Content-Length : 3\r\n\r\nbody", false, ""},
		{"unknown coding", ok + "Transfer-Encoding: chunke\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false, ""},
		{"chunks and a length", ok + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false, "200 body"},
		{"length and chunks", ok + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false, "200 body"},
		{"chunk without a size", ok + "Transfer-Encoding: chunked\r\n\r\n\r\n", false, ""},
		{"chunk longer than its size", ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nbody\r\n0\r\n\r\n", false, ""},
		{"interim only", "HTTP/1.1 100 Continue\r\n\r\n", false, ""},
		{"hints only", "HTTP/1.1 103 Early Hints\r\n\r\n", false, ""},
		{"hints", "HTTP/1.1 103 Early Hints\r\n\r\n" + ok + "Content-Length: 4\r\n\r\nbody", false, "200 body"},
		{"two interim answers", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + ok + "Content-Length: 4\r\n\r\nbody", false, "200 body"},
	} {
		var client Client
		got, err := get(&client, answerWith(t, x.reset, x.text))
		if err == nil && got != x.want || err != nil && x.want != "" {
			t.Errorf("%s: Do() = %q, %v; want %q", x.name, got, err, x.want)
		}
	}
}
