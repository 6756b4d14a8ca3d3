package wire

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"fmt"

	"github.com/teaselstream/teaselstream"
)

type (
	// Session is the state machine of one link: the handshake, then frames in order.
	//
	// The dialer sends its Hello; the acceptor answers with its own Hello and
	// Proof; the dialer ends with its Proof. Each MAC covers both Hellos and
	// the sender's role, so that neither a replay nor a reflection is valid.
	Session struct {
		secret   []byte
		self     Hello
		peer     Hello
		dialer   bool
		greeted  bool
		ready    bool
		sent     teaselstream.Sequence
		received teaselstream.Sequence
	}
)

const nonceSize = 16

var (
	// ErrUnauthenticated reports a frame before the handshake ended, or a wrong proof.
	ErrUnauthenticated = errors.New("unauthenticated frame")
	// ErrSequence reports a duplicate or reordered frame on a link.
	ErrSequence = errors.New("frame out of sequence")
)

// NewSession returns a session; self.Nonce must be 16 random bytes that were never used before.
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

// Authenticated reports whether the other end has proved knowledge of the secret.
func (s *Session) Authenticated() bool { return s.ready }

// Peer returns the other end's Hello, which is authentic once Authenticated is true.
func (s *Session) Peer() Hello { return s.peer }

// Encode returns the next frame of an authenticated link.
func (s *Session) Encode(m Message) ([]byte, error) {
	if !s.ready {
		return nil, fmt.Errorf("encode before handshake: %w", ErrUnauthenticated)
	}
	f, err := Encode(s.sent+1, m)
	if err != nil {
		return nil, err
	}
	s.sent++
	return f, nil
}

// Receive takes a frame; it returns frames to send and the message for the application, if any.
// The link must be closed on an error, which wraps ErrMalformed, ErrTooLarge, ErrUnauthenticated or ErrSequence.
func (s *Session) Receive(b []byte) ([][]byte, Message, error) {
	q, m, err := Decode(b)
	if err != nil {
		return nil, nil, err
	}
	if q != s.received+1 {
		return nil, nil, fmt.Errorf("%w: got %d after %d", ErrSequence, q, s.received)
	}
	s.received = q
	if !s.ready {
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
		// A Hello with this VM's own name is a reflection of its own handshake.
		if s.greeted || len(x.Nonce) != nonceSize || x.VM == "" || x.VM == s.self.VM {
			return nil, fmt.Errorf("%w: unexpected Hello", ErrUnauthenticated)
		}
		s.greeted, s.peer = true, x
		if s.dialer {
			return nil, nil
		}
		return s.frames(s.self, Proof{MAC: s.mac(false)})
	case Proof:
		if !s.greeted || !hmac.Equal(x.MAC, s.mac(!s.dialer)) {
			return nil, fmt.Errorf("%w: wrong proof", ErrUnauthenticated)
		}
		s.ready = true
		if !s.dialer {
			return nil, nil
		}
		return s.frames(Proof{MAC: s.mac(true)})
	default:
		return nil, fmt.Errorf("%w: kind %d before the handshake ended", ErrUnauthenticated, m.kind())
	}
}

// mac returns the proof of the end with the given role.
func (s *Session) mac(dialer bool) []byte {
	first, second, label := s.peer, s.self, "teaselstream acceptor"
	if s.dialer {
		first, second = s.self, s.peer
	}
	if dialer {
		label = "teaselstream dialer"
	}
	h := hmac.New(sha256.New, s.secret)
	// Marshal of a plain struct cannot fail.
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
