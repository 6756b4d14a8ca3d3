package peer

import (
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/wire"
)

type received struct {
	from    teaselstream.VMID
	message wire.Message
}

func listen(t *testing.T, vm, address, secret string, seeds ...string) (*Mesh, chan received) {
	t.Helper()
	in := make(chan received, 1024)
	m, err := Listen(Options{
		Address: address, Seeds: seeds, Secret: []byte(secret), Rand: rand.New(rand.NewPCG(1, 2)),
		Self:    wire.Hello{VM: teaselstream.VMID(vm), Domain: "d", Incarnation: 1},
		Receive: func(f teaselstream.VMID, x wire.Message) { in <- received{f, x} },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := m.Close(); err != nil {
			t.Error(err)
		}
	})
	return m, in
}

// sendUntil repeats a message until the other end has received it, as the state machines do.
func sendUntil(t *testing.T, m *Mesh, to teaselstream.VMID, address string, in chan received) received {
	t.Helper()
	for range 500 {
		_ = m.Send(to, address, wire.Question{Subject: "x"})
		select {
		case r := <-in:
			return r
		case <-time.After(20 * time.Millisecond):
		}
	}
	t.Fatal("message did not arrive")
	return received{}
}

// Guards against links that lose messages in one direction, leak goroutines, or do not reopen after the other VM restarts.
func TestLinkBothWaysAndReopen(t *testing.T) {
	leaks := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, leaks) })
	a, inA := listen(t, "a", "127.0.0.1:0", "s")
	b, inB := listen(t, "b", "127.0.0.1:0", "s")
	if r := sendUntil(t, a, "b", b.Address(), inB); r.from != "a" {
		t.Errorf("sender = %q, want a", r.from)
	}
	big := wire.Body{Parts: 1, Data: make([]byte, 900<<10)}
	if err := b.Send("a", "", big); err != nil {
		t.Errorf("answer on the same link: %v", err)
	}
	if r := <-inA; r.from != "b" || len(r.message.(wire.Body).Data) != len(big.Data) {
		t.Errorf("answer = %T from %q, want the body from b", r.message, r.from)
	}
	address := b.Address()
	if err := b.Close(); err != nil {
		t.Fatal(err)
	}
	_, inB = listen(t, "b", address, "s")
	sendUntil(t, a, "b", address, inB)
}

// Guards against a VM that starts without the platform's list and does not find the other VMs by its seed addresses.
func TestSeeds(t *testing.T) {
	a, inA := listen(t, "a", "127.0.0.1:0", "s")
	b, _ := listen(t, "b", "127.0.0.1:0", "s", a.Address())
	sendUntil(t, b, "a", "", inA)
}

// Guards against accepting frames from VMs without the secret, and against malformed input that is not counted.
func TestRefusesUnauthenticated(t *testing.T) {
	a, inA := listen(t, "a", "127.0.0.1:0", "s")
	b, _ := listen(t, "b", "127.0.0.1:0", "other")
	for i := 0; a.Stats().Unauthenticated.Load() == 0 && b.Stats().Unauthenticated.Load() == 0; i++ {
		if i > 500 {
			t.Fatal("handshake with a different secret was not refused")
		}
		_ = b.Send("a", a.Address(), wire.Question{})
		time.Sleep(10 * time.Millisecond)
	}
	c, err := net.Dial("tcp", a.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := c.Write([]byte("GET / HTTP/1.0\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("connection without a WebSocket upgrade stays open")
	}
	if a.Stats().Malformed.Load() == 0 {
		t.Error("malformed input is not counted")
	}
	if len(inA) > 0 {
		t.Errorf("message from an unauthenticated VM was accepted: %v", <-inA)
	}
}
