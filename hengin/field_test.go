package hengin

import (
	"strings"
	"testing"
)

// Guards against an engine's answer with a line that is no field in the protocol and whose events count.
func TestAnswersWithInvalidFields(t *testing.T) {
	const events = "event: token\ndata: {\"Request\":\"r\",\"Attempt\":1,\"Index\":1,\"Text\":\"a\"}\n\nevent: done\ndata: {\"Reason\":\"stop\"}\n\n"
	for _, line := range []string{"X Y: 1", "X-Y : 1", " X-Y: 1", "X\x00Y: 1", "X\rY: 1", ": 1", "X-Y", "Content-Length : 3", "Transfer-Encoding : chunked"} {
		for _, body := range []string{events, "6a\r\n" + events + "\r\n0\r\n\r\n"} {
			var c Client
			address, stop := serveAnswer(t, []string{"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + line + "\r\n\r\n" + body})
			got := readAll(t, &c, address)
			stop()
			c.Close()
			if strings.Contains(got, "DoneEvent") || strings.Contains(got, "TokenEvent") {
				t.Errorf("after %q and %q the stream is %q", line, body, got)
			}
		}
	}
}
