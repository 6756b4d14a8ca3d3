package fleet

import (
	"fmt"

	"github.com/teaselstream/teaselstream"
)

type (
	// service is a fake plain service, with one state for all replicas.
	service struct {
		checksFencing bool
		// padding is the number of bytes added to each answer's body.
		padding int
		// written lists the requests that reached a server, and ran those that were executed, by key.
		written map[string][]teaselstream.RequestID
		ran     map[string][]teaselstream.RequestID
		fence   map[string]teaselstream.Fencing
	}
)

func newService(checksFencing bool) *service {
	return &service{
		checksFencing: checksFencing, written: make(map[string][]teaselstream.RequestID), ran: make(map[string][]teaselstream.RequestID),
		fence: make(map[string]teaselstream.Fencing),
	}
}

// call executes a call, unless the service checks fencing numbers and the call's is too old.
func (s *service) call(c teaselstream.ServiceCall) (teaselstream.ServiceAnswer, error) {
	s.written[c.Key] = append(s.written[c.Key], c.Request)
	if s.fenced(c) {
		return teaselstream.ServiceAnswer{}, fmt.Errorf("fake service: %w", teaselstream.ErrFenced)
	}
	s.ran[c.Key] = append(s.ran[c.Key], c.Request)
	body := fmt.Sprintf("%s#%d", c.Key, len(s.ran[c.Key]))
	return teaselstream.ServiceAnswer{Status: 200, Body: append([]byte(body), make([]byte, s.padding)...)}, nil
}

// lookUp answers a status look-up and raises the key's fencing number if the look-up carries one.
func (s *service) lookUp(c teaselstream.ServiceCall) (bool, error) {
	if s.fenced(c) {
		return false, fmt.Errorf("fake service: %w", teaselstream.ErrFenced)
	}
	return len(s.ran[c.Key]) > 0, nil
}

func (s *service) fenced(c teaselstream.ServiceCall) bool {
	if !s.checksFencing || c.Fencing == 0 {
		return false
	}
	if c.Fencing < s.fence[c.Key] {
		return true
	}
	s.fence[c.Key] = c.Fencing
	return false
}
