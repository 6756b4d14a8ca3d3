package sock

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// scriptedConn is a connection whose write returns an error and whose read returns the end.
type scriptedConn struct {
	net.Conn
	writeError error
}

func (c scriptedConn) Read([]byte) (int, error)  { return 0, io.EOF }
func (c scriptedConn) Write([]byte) (int, error) { return 0, c.writeError }

// Guards against a reset that counts as an orderly end since a write reported it, and against an orderly end that counts as a reset.
func TestEndAfterWrite(t *testing.T) {
	for _, x := range []struct {
		err  error
		want error
	}{
		{nil, io.EOF},
		{os.ErrDeadlineExceeded, io.EOF},
		{&net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.EPIPE)}, io.EOF},
		{&net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.ECONNRESET)}, syscall.ECONNRESET},
		{&net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.ETIMEDOUT)}, syscall.ETIMEDOUT},
		{&net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.EHOSTUNREACH)}, syscall.EHOSTUNREACH},
	} {
		c := &EndConn{Conn: scriptedConn{writeError: x.err}}
		if _, err := c.Read(nil); !errors.Is(err, io.EOF) {
			t.Errorf("Read() = %v before a write, want %v", err, io.EOF)
		}
		if _, err := c.Write(nil); !errors.Is(err, x.err) {
			t.Errorf("Write() = %v, want %v", err, x.err)
		}
		_, err := c.Read(nil)
		if !errors.Is(err, x.want) || errors.Is(x.want, io.EOF) == errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("after a write with error %v: Read() = %v, want %v", x.err, err, x.want)
		}
	}
}

// Guards against the assumption behind EndConn failing on a system: that a write reports a reset as EPIPE only after an orderly end, and that
// an end while a write waits does not wait for it.
func TestEndOnSockets(t *testing.T) {
	// More than the buffers of a loopback connection hold, so that the write waits.
	body := make([]byte, 32<<20)
	for _, orderly := range []bool{false, true} {
		for range 50 {
			client, server := pair(t)
			written := make(chan error, 1)
			c := &EndConn{Conn: client}
			go func() {
				_, err := c.Write(body)
				written <- err
			}()
			if _, err := io.WriteString(server, "part"); err != nil {
				t.Fatal(err)
			}
			if orderly {
				if err := server.CloseWrite(); err != nil {
					t.Fatal(err)
				}
			}
			go func() {
				time.Sleep(time.Millisecond)
				Abort(server)
			}()
			got, err := io.ReadAll(c)
			Discard(c)
			if failure := <-written; string(got) != "part" || (err == nil) != orderly {
				t.Errorf("orderly end %t: ReadAll() = %q, %v; the write returned %v", orderly, got, err, failure)
			}
		}
	}
}

// pair returns both sides of a connection.
func pair(t *testing.T) (client, server *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer Discard(l)
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	s, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { Discard(c); Discard(s) })
	return c.(*net.TCPConn), s.(*net.TCPConn)
}
