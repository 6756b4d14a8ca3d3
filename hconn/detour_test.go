package hconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/teaselstream/teaselstream/detour"
	"github.com/teaselstream/teaselstream/fleet"
	"github.com/teaselstream/teaselstream/sock"
)

// firstRand always chooses the first of several.
type firstRand struct{}

func (firstRand) Float64() float64 { return 0 }
func (firstRand) IntN(int) int     { return 0 }

// Guards against reports and orders that go on through a VM which breaks off all calls while another one would carry them (RECOVER).
func TestCallsLeaveVMThatBreaksOff(t *testing.T) {
	listen := func(serve func(net.Conn)) string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { sock.Discard(l) })
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				if _, err := c.Read(make([]byte, 1<<10)); err == nil {
					serve(c)
				}
				sock.Discard(c)
			}
		}()
		return l.Addr().String()
	}
	peers := []fleet.Peer{
		{Name: "me", Domain: "near"},
		{Name: "broken", Domain: "near", Relay: listen(func(net.Conn) {})},
		{Name: "sound", Domain: "far", Relay: listen(func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		})},
	}
	c := &Client{Detour: &detour.Chooser{
		Self: "me", Isolated: func() bool { return true }, Peers: func() []fleet.Peer { return peers }, Rand: firstRand{},
	}}
	call := func(server string) error {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		q, p := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(q)
		defer fasthttp.ReleaseResponse(p)
		q.Header.SetMethod(http.MethodGet)
		q.SetRequestURI("http://" + server + "/report")
		return c.Do(ctx, q, p)
	}
	for i, server := range []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:1", "127.0.0.1:2"} {
		if err := call(server); (err == nil) != (i >= 2) {
			t.Errorf("call %d: error %v, want one: %t", i+1, err, i < 2)
		}
	}
}
