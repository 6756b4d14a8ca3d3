package proxy

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/detour"
	"github.com/teaselstream/teaselstream/fleet"
	"github.com/teaselstream/teaselstream/sock"
)

// noStatuses are what a server in trouble may write in place of a status.
var noStatuses = []string{"000", "001", "099", "-01", "+99", "-00", "0", "20", "2000", "0200", "2 0", "2e2", "0x1", "", "OK", "²00"}

// Guards against an answer whose status is none in the protocol and that reaches the caller, as "HTTP/1.1 0 Status" (MIXED): of calls and
// streams, from the server itself and through another VM. The server counts as failed.
func TestAnswersWithoutStatus(t *testing.T) {
	const rest = "\r\nAttempt: me\r\nContent-Length: 4\r\n\r\nbody"
	for _, status := range noStatuses {
		for _, path := range []string{"/plain", "/once"} {
			for _, through := range []bool{false, true} {
				got, invalid := askFaulty(t, path, through, "HTTP/1.1 "+status+" Broken"+rest)
				if !strings.HasPrefix(got, "502 ") {
					t.Errorf("%s, through another VM %t: after status %q the caller has %q, want 502", path, through, status, got)
				}
				if invalid == 0 {
					t.Errorf("%s, through another VM %t: status %q does not count as a failure of the server", path, through, status)
				}
			}
		}
		got, _ := askFaulty(t, "/resumed", false, "HTTP/1.1 "+status+" Broken"+rest, "HTTP/1.1 200 OK"+rest)
		if got != "200 body" {
			t.Errorf("after status %q the caller of a request that may be repeated has %q, want the answer of the second server", status, got)
		}
	}
}

// Guards against an interim status that ends an answer and does not count as a failure of the server.
func TestInterimEndsAnswer(t *testing.T) {
	for _, text := range []string{"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 199 Broken\r\nAttempt: me\r\nContent-Length: 4\r\n\r\nbody"} {
		for _, path := range []string{"/plain", "/once"} {
			got, invalid := askFaulty(t, path, false, text)
			if !strings.HasPrefix(got, "502 ") || invalid == 0 {
				t.Errorf("%s: after %q the caller has %q, want 502; %d answers count as invalid, want some", path, text, got, invalid)
			}
		}
	}
}

// askFaulty sends one request that servers answer with the given texts, directly or through another VM, and returns the answer and how often
// a server counted as failed at the VM that is connected to it.
func askFaulty(t *testing.T, path string, through bool, texts ...string) (answer string, invalid int) {
	t.Helper()
	v := handlerView(startReplica(t, &scriptedReplica{texts: texts}))
	h := newHandler(func() *fleet.View { return v })
	connected := h
	if through {
		connected = newHandler(h.View)
		sendThrough(t, h, connected, v, path)
	}
	posted := make(chan teaselstream.Msg, 100)
	connected.Post = func(m teaselstream.Msg) {
		if _, ok := m.(fleet.AnswerInvalid); ok {
			posted <- m
		}
	}
	answer = askHandler(t, h, path)
	return answer, len(posted)
}

// sendThrough makes a handler send its requests through another one, which knows the server for a path only by its address.
func sendThrough(t *testing.T, h, carrier *Handler, v *fleet.View, path string) {
	t.Helper()
	for id, m := range v.Members {
		if first := v.Pools[m.Service][0]; m != first || m.Service != v.Routing.Match("h", path).Targets[0].Service {
			delete(v.Members, id)
		}
	}
	carrier.Detour = &detour.Chooser{Self: "vm-b", Isolated: func() bool { return false }, Rand: firstPeer{}}
	peers := []fleet.Peer{{Name: "vm-a", Domain: "near"}, {Name: "vm-b", Domain: "near", Relay: serveCarry(t, carrier)}}
	h.Detour = &detour.Chooser{Self: "vm-a", Isolated: func() bool { return true }, Peers: func() []fleet.Peer { return peers }, Rand: firstPeer{}}
}

// textConn returns a text and then the end of the connection; it counts the bytes that were read.
type textConn struct {
	net.Conn
	rest []byte
	read int
}

func (c *textConn) Read(p []byte) (int, error) {
	if len(c.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.rest)
	c.rest, c.read = c.rest[n:], c.read+n
	return n, nil
}

// statusLine matches the status line of a final answer as a caller may get it.
var statusLine = regexp.MustCompile(`^HTTP/1\.1 [2-9][0-9]{2} `)

// fieldLine matches a line of a head that is a field.
var fieldLine = regexp.MustCompile("^[!#$%&'*+.^_`|~0-9A-Za-z-]+:")

// lastHead returns the lines of the last head in data, without its status line.
func lastHead(data []byte) []string {
	for {
		head, rest := []string(nil), strings.Split(string(data), "\n")
		for i, line := range rest {
			if line == "" || line == "\r" {
				data = []byte(strings.Join(rest[i+1:], "\n"))
				break
			}
			head = append(head, line)
		}
		_, status, _ := strings.Cut(head[0], " ")
		if !strings.HasPrefix(strings.TrimLeft(status, " "), "1") {
			return head[1:]
		}
	}
}

// Guards against bytes of a server that are taken for the head of an answer although callers may not have them as one: a status that is none,
// an interim one that ends the answer, a line that is no field, and a head that is longer than its limit.
func FuzzResponseHead(f *testing.F) {
	const rest = "\r\nAttempt: me\r\nContent-Length: 0\r\n\r\n"
	for _, status := range append(noStatuses, "100", "101", "199", "200", "204", "304", "599", "999") {
		f.Add([]byte("HTTP/1.1 " + status + rest))
		f.Add([]byte("HTTP/1.0  " + status + " Broken" + rest))
		f.Add([]byte("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 " + status + rest))
	}
	for _, x := range cutAnswers {
		f.Add([]byte(x.text))
	}
	for _, line := range noFields {
		f.Add([]byte("HTTP/1.1 200 OK\r\nAttempt: me\r\n" + line + rest[len("\r\nAttempt: me"):]))
		f.Add([]byte("HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\nHTTP/1.1 200" + rest))
		f.Add([]byte("HTTP/1.1 200 OK\nAttempt: me\n" + line + "\n\n"))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c := &textConn{rest: data}
		p, err := newServerConn(c, "server").readResponse(http.MethodGet)
		if c.read > maxHeadBytes+readBufferBytes {
			t.Errorf("%d bytes were read, want at most %d", c.read, maxHeadBytes+readBufferBytes)
		}
		if err != nil {
			if p != nil {
				t.Error("an answer comes with an error")
			}
			return
		}
		defer sock.Discard(p.Body)
		var out strings.Builder
		w := bufio.NewWriter(&out)
		if err := errors.Join(writeResponseHead(w, p.StatusCode, endToEndHeader(p.Header)), w.Flush()); err != nil {
			t.Fatal(err)
		}
		if !statusLine.MatchString(out.String()) {
			t.Errorf("the caller gets %q", out.String())
		}
		if !strings.HasPrefix(p.Status, out.String()[len("HTTP/1.1 "):][:3]) {
			t.Errorf("status %q is passed on as %q", p.Status, out.String())
		}
		for _, line := range lastHead(data) {
			if !fieldLine.MatchString(line) {
				t.Errorf("line %q is no field; the caller gets %q", line, out.String())
			}
		}
	})
}
