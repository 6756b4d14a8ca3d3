package proxy

import (
	"bytes"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

// statingDialect reads from the header Not-Run that the replica states that it did not run the request.
type statingDialect struct{ namedDialect }

func (d statingDialect) Answer(status int, h http.Header) teaselstream.AnswerHead {
	a := d.namedDialect.Answer(status, h)
	a.NotRun = h.Get("Not-Run") != ""
	return a
}

// Guards against a request that may not run twice, ran, and is answered with a status that callers take for the promise that it did not
// run, so that they send it again (REFUSED): calls and streams, from the replica itself and through another VM.
func TestFalsePromises(t *testing.T) {
	for _, through := range []bool{false, true} {
		for _, path := range []string{"/plain", "/once"} {
			for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
				t.Run(fmt.Sprintf("%s/%d/through=%t", strings.Trim(path, "/"), status, through), func(t *testing.T) {
					t.Parallel()
					text := fmt.Sprintf("HTTP/1.1 %d No\r\nAttempt: me\r\nContent-Length: 2\r\n\r\nno", status)
					got, log := askStating(t, path, text, through)
					if !strings.HasPrefix(got, "502 ") {
						t.Errorf("the caller has %q, want an answer that promises nothing", got)
					}
					if want := fmt.Sprintf(`"serverStatus":%d,"status":502`, status); !strings.Contains(log, `"msg":"AnswerReplaced"`) || !strings.Contains(log, want) {
						t.Errorf("the log does not say that the answer was replaced, with %s: %s", want, log)
					}
				})
			}
		}
	}
}

// Guards against replacing answers that callers may have: the replica's own status of a failure, and any status of a request that may run
// more than once.
func TestStatusesPassedOn(t *testing.T) {
	for _, x := range []struct {
		path string
		text string
		want string
	}{
		{"/plain", "HTTP/1.1 500 No\r\nAttempt: me\r\nContent-Length: 2\r\n\r\nno", "500 no"},
		{"/plain", "HTTP/1.1 409 No\r\nAttempt: me\r\nContent-Length: 2\r\n\r\nno", "409 no"},
		{"/once", "HTTP/1.1 500 No\r\nAttempt: me\r\nContent-Length: 2\r\n\r\nno", "500 no"},
		{"/resumed", "HTTP/1.1 503 No\r\nAttempt: me\r\nContent-Length: 2\r\n\r\nno", "503 no"},
	} {
		if got, _ := askStating(t, x.path, x.text, false); got != x.want {
			t.Errorf("%s: the caller has %q, want %q", x.path, got, x.want)
		}
	}
}

// askStating sends one request that replicas answer with a text, directly or through another VM, and returns the answer and the log.
func askStating(t *testing.T, path, text string, through bool) (answer, log string) {
	t.Helper()
	v := handlerView(startReplica(t, &scriptedReplica{texts: []string{text}}))
	h := newHandler(func() *fleet.View { return v })
	h.Dialect = statingDialect{}
	if through {
		carrier := newHandler(h.View)
		carrier.Dialect = statingDialect{}
		sendThrough(t, h, carrier, v, path)
	}
	lines := &lockedBuffer{}
	h.Log = slog.New(slog.NewJSONHandler(lines, nil))
	return askHandler(t, h, path), lines.String()
}

// lockedBuffer holds what a handler logs, also after its answer.
type lockedBuffer struct {
	mu    sync.Mutex
	bytes bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes.Write(p)
}

// String returns what was written so far.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes.String()
}
