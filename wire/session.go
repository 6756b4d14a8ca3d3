package wire

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"fmt"

	"github.com/teaselstream/teaselstream"
)

type (
	// Session is the state machine of one link: first the handshake, then frames in sequence.
	//
	// The dialer sends its Hello, the acceptor answers with its own Hello and
	// Proof, and the dialer completes the handshake with its Proof. Each MAC
	// covers both Hellos and the sender's role, so that neither a replayed nor
	// a reflected Proof is valid.
	Session struct {
		secret        []byte
		self          Hello
		peer          Hello
		dialer        bool
		helloReceived bool
		authenticated bool
		sent          teaselstream.Sequence
		received      teaselstream.Sequence
	}
)

const nonceBytes = 16

var (
	// ErrUnauthenticated reports an invalid handshake message, or another message before the handshake is complete.
	ErrUnauthenticated = errors.New("unauthenticated frame")
	// ErrSequence reports a duplicate or reordered frame on a link.
	ErrSequence = errors.New("frame out of sequence")
)

// NewSession returns a session; self.Nonce must be 16 random bytes that are not used for any other session.
func NewSession(secret []byte, self Hello, dialer bool) *Session {
	return &Session{secret: secret, self: self, dialer: dialer}
}

// Open returns the frames to send when the link opens.
func (s *Session) Open() ([][]byte, error) {
	if !s.dialer {
		return nil, nil
	}
	return s.frames(s.self)
}

// Authenticated reports whether the other end has proved that it knows the secret.
func (s *Session) Authenticated() bool { return s.authenticated }

// Peer returns the other end's Hello, which is authentic once Authenticated is true.
func (s *Session) Peer() Hello { return s.peer }

// Encode returns the next frame of an authenticated link.
func (s *Session) Encode(m Message) ([]byte, error) {
	if !s.authenticated {
		return nil, fmt.Errorf("encode before handshake: %w", ErrUnauthenticated)
	}
	f, err := Encode(s.sent+1, m)
	if err != nil {
		return nil, err
	}
	s.sent++
	return f, nil
}

// Receive processes a frame; it returns frames to send and the message for the application, if any.
// After an error the caller must close the link. The error wraps ErrMalformed, ErrTooLarge, ErrUnauthenticated or ErrSequence.
func (s *Session) Receive(b []byte) ([][]byte, Message, error) {
	q, m, err := Decode(b)
	if err != nil {
		return nil, nil, err
	}
	if q != s.received+1 {
		return nil, nil, fmt.Errorf("%w: got %d after %d", ErrSequence, q, s.received)
	}
	s.received = q
	if !s.authenticated {
		out, err := s.handshake(m)
		return out, nil, err
	}
	switch m.(type) {
	case Hello, Proof:
		return nil, nil, fmt.Errorf("%w: handshake message on an open link", ErrMalformed)
	}
	return nil, m, nil
}

func (s *Session) handshake(m Message) ([][]byte, error) {
	switch x := m.(type) {
	case Hello:
		// A Hello with the name of this VM is its own Hello, reflected by the other end.
		if s.helloReceived || len(x.Nonce) != nonceBytes || x.VM == "" || x.VM == s.self.VM {
			return nil, fmt.Errorf("%w: unexpected Hello", ErrUnauthenticated)
		}
		s.helloReceived, s.peer = true, x
		if s.dialer {
			return nil, nil
		}
		return s.frames(s.self, Proof{MAC: s.mac(false)})
	case Proof:
		if !s.helloReceived || !hmac.Equal(x.MAC, s.mac(!s.dialer)) {
			return nil, fmt.Errorf("%w: wrong proof", ErrUnauthenticated)
		}
		s.authenticated = true
		if !s.dialer {
			return nil, nil
		}
		return s.frames(Proof{MAC: s.mac(true)})
	default:
		return nil, fmt.Errorf("%w: kind %d before the handshake is complete", ErrUnauthenticated, m.kind())
	}
}

// mac returns the MAC for the Proof of the end with the given role.
func (s *Session) mac(dialer bool) []byte {
	first, second, label := s.peer, s.self, "teaselstream acceptor"
	if s.dialer {
		first, second = s.self, s.peer
	}
	if dialer {
		label = "teaselstream dialer"
	}
	h := hmac.New(sha256.New, s.secret)
	// Marshal cannot fail for these plain structs.
	b, _ := encoder.Marshal([]any{label, first, second})
	h.Write(b)
	return h.Sum(nil)
}

func (s *Session) frames(ms ...Message) ([][]byte, error) {
	out := make([][]byte, 0, len(ms))
	for _, m := range ms {
		f, err := Encode(s.sent+1, m)
		if err != nil {
			return nil, err
		}
		s.sent++
		out = append(out, f)
	}
	return out, nil
}
