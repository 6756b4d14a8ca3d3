package proxy

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/crash"
	"github.com/teaselstream/teaselstream/fleet"
)

// quarantineOnTrial returns a set with the signature of one request, which was found some time ago and is on trial now.
func quarantineOnTrial(t *testing.T, path string) *crash.Quarantine {
	t.Helper()
	now := time.Now()
	var tracker crash.Tracker
	tracker.Update(now, crash.Peers{Self: "vm", VMs: []teaselstream.VMID{"vm"}})
	s := crash.Signature{Traits: []crash.Trait{crash.ContentTrait("", http.MethodGet, path, nil)}}
	record := crash.Record{Signatures: []crash.RecordedSignature{{Signature: s, FoundAt: now.Add(-11 * time.Minute).Unix()}}}
	var q *crash.Quarantine
	for _, m := range []teaselstream.Msg{crash.RecordRead{Record: record, At: teaselstream.Position{Era: 1, Revision: 1}}, teaselstream.Tick{}} {
		for _, c := range tracker.Update(now, m) {
			if p, ok := c.(crash.PublishQuarantine); ok {
				q = p.Quarantine
			}
		}
	}
	return q
}

// Guards against a signature whose trial ends before the server has answered, since the request is taken off it as a harmful one, and
// against a trial that more than one request passes, or that is sent to a second server.
func TestTrial(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nAttempt: me\r\nContent-Length: 4\r\n\r\nbody"
	for _, path := range []string{"/plain", "/once", "/resumed"} {
		for _, x := range []struct{ name, text, want string }{
			{"answered", ok, "200 "},
			{"broken off", "", "502 "},
		} {
			t.Run(strings.Trim(path, "/")+"/"+x.name, func(t *testing.T) {
				t.Parallel()
				sent := 0
				s := &scriptedReplica{texts: []string{x.text}, before: func(n int) {
					sent = n
					time.Sleep(50 * time.Millisecond)
				}}
				v := handlerView(startReplica(t, s))
				h := newHandler(func() *fleet.View { return v })
				q := quarantineOnTrial(t, path)
				h.Quarantine = func() *crash.Quarantine { return q }
				if got := askHandler(t, h, path); !strings.HasPrefix(got, x.want) {
					t.Errorf("the request on trial has %q, want status %s", got, x.want)
				}
				if got := askHandler(t, h, path); !strings.HasPrefix(got, "503 ") {
					t.Errorf("the next request has %q, want a refusal", got)
				}
				if sent != 1 {
					t.Errorf("%d requests reached a server, want 1", sent)
				}
			})
		}
	}
}
