package proxy

import "time"

// firstRequestTime is how long an accepted connection without a request stays open in a stop: its request is on the way. Callers
// send the first request as soon as the connection is open.
const firstRequestTime = 200 * time.Millisecond

// CloseIdle closes connections that have no request in progress, except those that were accepted just now. A request that has begun to
// arrive is still read and served.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if time.Since(c.opened) >= firstRequestTime {
			c.closeIdle()
		}
	}
}

// OpenConnections returns the number of callers' connections, each of which may have a request in progress.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}
