package plat

import (
	"net"
	"sync/atomic"
	"time"
)

// pausePoll is the interval at which a paused replica checks whether its pause was ended early, by a crash. It is not shorter, because
// all connections and streams of all paused replicas check.
const pausePoll = 50 * time.Millisecond

// pause is the time, in nanoseconds since 1970, until which a replica is paused; its zero value is in the past.
type pause struct{ until atomic.Int64 }

func (p *pause) active() bool { return time.Now().UnixNano() < p.until.Load() }

func (p *pause) wait() {
	for p.active() {
		time.Sleep(min(pausePoll, time.Until(time.Unix(0, p.until.Load()))))
	}
}

// Pause makes the replica fall silent for a time, as a process that gets no processor does, and go on afterwards. Its connections stay
// open and new ones are accepted by the system, but the replica reads and sends nothing, runs no step and writes no entry.
func (r *Replica) Pause(d time.Duration) { r.pause.until.Store(time.Now().Add(d).UnixNano()) }

// PauseAll pauses several replicas at once.
func PauseAll(d time.Duration, replicas ...*Replica) {
	for _, r := range replicas {
		r.Pause(d)
	}
}

// pausedListener accepts connections that pass no bytes while their replica is paused.
type pausedListener struct {
	net.Listener
	pause *pause
}

// Accept returns the next connection.
func (l pausedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // net/http looks at the type of the error.
	}
	return pausedConn{c, l.pause}, nil
}

type pausedConn struct {
	net.Conn
	pause *pause
}

// Read returns what was read once the replica is not paused.
func (c pausedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.pause.wait()
	return n, err //nolint:wrapcheck // net/http compares the errors of a connection.
}

// Write sends bytes once the replica is not paused.
func (c pausedConn) Write(b []byte) (int, error) {
	c.pause.wait()
	return c.Conn.Write(b) //nolint:wrapcheck // net/http compares the errors of a connection.
}
