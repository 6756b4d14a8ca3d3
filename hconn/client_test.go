package hconn

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/teaselstream/teaselstream"
)

// Guards against a call that is reported as not run although its request was written, and against a call that is repeated
// without notice.
func TestDoClassifiesFailures(t *testing.T) {
	var accepted atomic.Int32
	closing, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = closing.Close() }()
	go closeAfterRead(closing, &accepted)

	refusing, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refused := refusing.Addr().String()
	if err := refusing.Close(); err != nil {
		t.Fatal(err)
	}

	for _, c := range []struct {
		name    string
		address string
		want    error
	}{
		{"connection refused", refused, teaselstream.ErrUnavailable},
		{"connection closed after the request", closing.Addr().String(), teaselstream.ErrOutcomeUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			q, p := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			q.SetRequestURI("http://" + c.address + "/")
			var client Client
			if err := client.Do(context.Background(), q, p); !errors.Is(err, c.want) {
				t.Errorf("Do() = %v, want %v", err, c.want)
			}
		})
	}
	if n := accepted.Load(); n != 1 {
		t.Errorf("connections accepted = %d, want 1: the call was repeated", n)
	}
}

func closeAfterRead(l net.Listener, accepted *atomic.Int32) {
	buffer := make([]byte, 4096)
	for {
		n, err := l.Accept()
		if err != nil {
			return
		}
		accepted.Add(1)
		_, _ = n.Read(buffer)
		_ = n.Close()
	}
}

// Guards against a canceled long poll, such as a store watch at shutdown, that returns only after its timeout.
func TestDoCancelableReturnsOnCancel(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	q, p := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	q.SetRequestURI("http://" + l.Addr().String() + "/")
	ctx, cancel := context.WithCancel(context.Background())
	var client Client
	result := make(chan error, 1)
	go func() { result <- client.DoCancelable(ctx, q, p) }()
	if _, err := l.Accept(); err != nil {
		t.Fatal(err)
	}
	cancel()
	if err := <-result; !errors.Is(err, context.Canceled) {
		t.Errorf("DoCancelable() = %v, want %v", err, context.Canceled)
	}
}
