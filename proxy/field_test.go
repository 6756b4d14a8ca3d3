package proxy

import (
	"strings"
	"testing"
)

// noFields are lines of a head whose name is none in the protocol.
var noFields = []string{
	"X Y: 1", "X-Y : 1", "X-Y\t: 1", " X-Y: 1", "\tX-Y: 1", " ", "X\x00Y: 1", "X\x01: 1", "\x7fX: 1", "X\rY: 1", "X\r: 1", "\rX: 1", "X\v: 1", "X\x80: 1",
	": 1", "X-Y", "X(Y): 1", "Content-Length : 3", "Content-Length\t: 3", "Content-Length\v: 3", " Content-Length: 3", "Transfer-Encoding : chunked",
	"Transfer-Encoding\x00: chunked",
}

// Guards against an answer with a line that is no field and that reaches the caller, with that line, with another stamp, or with a body that is
// not the server's (MIXED): of calls and streams, from the server itself and through another VM. The server counts as failed.
func TestAnswersWithInvalidFields(t *testing.T) {
	for _, line := range noFields {
		for _, head := range []string{
			"HTTP/1.1 200 OK\r\n" + line + "\r\nAttempt: me\r\nContent-Length: 4\r\n\r\n",
			"HTTP/1.1 200 OK\r\nAttempt: me\r\nStamp: s\r\n" + line + "\r\nContent-Length: 4\r\n\r\n",
			"HTTP/1.1 200 OK\r\nAttempt: me\r\nContent-Length: 4\r\nStamp: s\r\n" + line + "\r\n\r\n",
			"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\nAttempt: me\nContent-Length: 4\nStamp: s\n" + line + "\n\n",
		} {
			for _, path := range []string{"/plain", "/once"} {
				for _, through := range []bool{false, true} {
					got, invalid := askFaulty(t, path, through, head+"body")
					if !strings.HasPrefix(got, "502 ") {
						t.Errorf("%s, through another VM %t: after %q the caller has %q, want 502", path, through, head, got)
					}
					if invalid == 0 {
						t.Errorf("%s, through another VM %t: %q does not count as a failure of the server", path, through, head)
					}
				}
			}
		}
		got, _ := askFaulty(t, "/resumed", false, "HTTP/1.1 200 OK\r\nAttempt: me\r\n"+line+"\r\nContent-Length: 4\r\n\r\nbody",
			"HTTP/1.1 200 OK\r\nAttempt: me\r\nContent-Length: 4\r\n\r\nrest")
		if got != "200 rest" {
			t.Errorf("after %q the caller of a request that may be repeated has %q, want the answer of the second server", line, got)
		}
	}
}

// Guards against such a line in an answer whose head was read together with an answer to an earlier request.
func TestInvalidFieldAfterStaleAnswer(t *testing.T) {
	const stale, mine = "HTTP/1.1 200 OK\r\nAttempt: you\r\nContent-Length: 5\r\n\r\nyours", "HTTP/1.1 200 OK\r\nAttempt: me\r\nStamp: s\r\n"
	for _, line := range noFields {
		got, invalid := askFaulty(t, "/plain", false, stale+mine+line+"\r\nContent-Length: 4\r\n\r\nbody")
		if !strings.HasPrefix(got, "502 ") || invalid == 0 {
			t.Errorf("after %q the caller has %q, want 502; %d answers count as invalid, want some", line, got, invalid)
		}
	}
}

// Guards against refusing answers whose fields are unusual but sound, or whose line that is no field reaches nobody: in the body, in a trailer
// or in an interim head.
func TestAnswersWithSoundFields(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nAttempt: me\r\n"
	for _, text := range []string{
		head + "!#$%&'*+-.^_`|~09AZaz: x\r\nContent-Length: 4\r\n\r\nbody",
		head + "Empty:\r\nColon: a:b : c\r\nBlank: \t x \t\r\nContent-Length:4\r\n\r\nbody",
		head + "Content-Length: 4\r\n\r\nbody" + "X Y: 1\r\n\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX Y: 1\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nX Y: 1\r\nContent-Length : 3\r\n\r\n" + head + "Content-Length: 4\r\n\r\nbody",
		"HTTP/1.1 200 OK\nAttempt: me\nContent-Length: 4\n\nbody",
	} {
		for _, path := range []string{"/plain", "/once"} {
			if got, invalid := askFaulty(t, path, false, text); got != "200 body" || invalid > 0 {
				t.Errorf("%s: after %q the caller has %q, want 200 body; %d answers count as invalid", path, text, got, invalid)
			}
		}
	}
}
