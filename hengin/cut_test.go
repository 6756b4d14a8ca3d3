package hengin

import (
	"strings"
	"testing"
)

// Guards against an engine's answer that breaks off anywhere, in its head too, and that counts as a whole one.
func TestCutAnywhere(t *testing.T) {
	const (
		head   = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
		events = "event: token\ndata: {\"Request\":\"r\",\"Attempt\":1,\"Index\":1,\"Text\":\"a\"}\n\nevent: done\ndata: {\"Reason\":\"stop\"}\n\n"
	)
	for _, whole := range []string{
		head + "Transfer-Encoding: chunked\r\n\r\n6a\r\n" + events + "\r\n0\r\n\r\n",
		head + "Content-Length: 106\r\n\r\n" + events,
		head + "\r\n" + events,
	} {
		last := strings.LastIndex(whole, "}\n\n") + len("}\n\n")
		for n := range len(whole) + 1 {
			var c Client
			address, stop := serveAnswer(t, []string{whole[:n]})
			got := readAll(t, &c, address)
			stop()
			c.Close()
			if done := strings.Contains(got, "DoneEvent"); done != (n >= last) {
				t.Errorf("after %q the stream is %q", whole[:n], got)
			}
		}
	}
	if len(events) != 106 {
		t.Errorf("the events have %d bytes, want those of the chunk and the length", len(events))
	}
}

// Guards against an engine's answer whose status is none in the protocol and whose events count: the library takes 000 for 200.
func TestStatusThatIsNone(t *testing.T) {
	const rest = " Broken\r\nContent-Type: text/event-stream\r\n\r\nevent: done\ndata: {\"Reason\":\"stop\"}\n\n"
	for _, status := range []string{"000", "001", "099"} {
		var c Client
		address, stop := serveAnswer(t, []string{"HTTP/1.1 " + status + rest})
		got := readAll(t, &c, address)
		stop()
		c.Close()
		if strings.Contains(got, "DoneEvent") || !strings.Contains(got, "answer has no status") {
			t.Errorf("after status %s the stream is %q", status, got)
		}
	}
}
