package proxy

import (
	"testing"

	"github.com/teaselstream/teaselstream/fleet"
)

// Guards against an answer without events, such as the rest of a stream whose caller has all events already, that ends as a closed
// connection without an answer (LOST).
func TestStreamWithoutEvents(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nAttempt: me\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nAttempt: me\r\nContent-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n",
	} {
		for _, path := range []string{"/once", "/resumed"} {
			v := handlerView(startReplica(t, &scriptedReplica{texts: []string{text}}))
			if got := askOnce(t, func() *fleet.View { return v }, path); got != "200 " {
				t.Errorf("%s: the caller has %q, want the answer without events", path, got)
			}
		}
	}
}
