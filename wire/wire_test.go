package wire

import (
	"errors"
	"reflect"
	"testing"

	"github.com/teaselstream/teaselstream"
)

func hello(vm string, n byte) Hello {
	b := make([]byte, nonceBytes)
	b[0] = n
	return Hello{VM: teaselstream.VMID(vm), Domain: "d1", Incarnation: 1, Nonce: b}
}

// exchangeFrames passes frames between both ends until neither has any to send, and returns the first error.
func exchangeFrames(a, b *Session) error {
	toB, err := a.Open()
	for err == nil && len(toB) > 0 {
		var toA [][]byte
		for _, f := range toB {
			var out [][]byte
			if out, _, err = b.Receive(f); err != nil {
				return err
			}
			toA = append(toA, out...)
		}
		toB = nil
		for _, f := range toA {
			var out [][]byte
			if out, _, err = a.Receive(f); err != nil {
				return err
			}
			toB = append(toB, out...)
		}
	}
	return err
}

// Guards against links that are authenticated although one end does not have the secret.
func TestHandshake(t *testing.T) {
	for _, c := range []struct {
		name   string
		a, b   string
		peer   string
		wanted error
	}{
		{"same secret", "s", "s", "b", nil},
		{"other secret", "s", "x", "b", ErrUnauthenticated},
		{"reflected name", "s", "s", "a", ErrUnauthenticated},
	} {
		a, b := NewSession([]byte(c.a), hello("a", 1), true), NewSession([]byte(c.b), hello(c.peer, 2), false)
		err := exchangeFrames(a, b)
		if !errors.Is(err, c.wanted) {
			t.Errorf("%s: error = %v, want %v", c.name, err, c.wanted)
		}
		if ok := c.wanted == nil; a.Authenticated() != ok || b.Authenticated() != ok {
			t.Errorf("%s: ready = %v %v, want %v", c.name, a.Authenticated(), b.Authenticated(), ok)
		}
	}
}

// Guards against accepting frames before authentication, twice or out of order.
func TestSessionDropsFrames(t *testing.T) {
	early, err := Encode(1, Goodbye{VM: "b"})
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := NewSession(nil, hello("a", 1), false).Receive(early); !errors.Is(err, ErrUnauthenticated) {
		t.Errorf("early frame: error = %v, want ErrUnauthenticated", err)
	}
	a, b := NewSession(nil, hello("a", 1), true), NewSession(nil, hello("b", 2), false)
	if err := exchangeFrames(a, b); err != nil {
		t.Fatal(err)
	}
	f, err := a.Encode(Question{Subject: "c"})
	if err != nil {
		t.Fatal(err)
	}
	if _, m, err := b.Receive(f); err != nil || !reflect.DeepEqual(m, Question{Subject: "c"}) {
		t.Errorf("frame = %v, %v, want the question", m, err)
	}
	if _, _, err := b.Receive(f); !errors.Is(err, ErrSequence) {
		t.Errorf("duplicate: error = %v, want ErrSequence", err)
	}
}

// Guards against panics, oversized allocations and frames that do not survive a round trip.
func FuzzDecode(f *testing.F) {
	seeds := []Message{
		hello("a", 1), Proof{MAC: []byte{1}}, Heartbeat{VM: "a", Notices: []Notice{{Kind: NoticeDead, Subject: "s"}}},
		Notices{}, Question{}, Reply{Heard: true}, DeltaPull{}, Delta{Sections: []byte("x")}, BodyPull{}, Body{Parts: 1},
		OrderForward{Payload{Request: "r", Data: []byte("x")}}, OrderAnswer{}, Permit{}, PermitAnswer{}, Goodbye{},
		Placement{Servers: []PlacedServer{{Server: "s"}}},
	}
	for _, m := range seeds {
		b, err := Encode(7, m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		q, m, err := Decode(b)
		if err != nil {
			if !errors.Is(err, ErrMalformed) && !errors.Is(err, ErrTooLarge) {
				t.Errorf("error %v is not typed", err)
			}
			return
		}
		e, err := Encode(q, m)
		if err != nil {
			if errors.Is(err, ErrTooLarge) {
				return
			}
			t.Fatalf("encode %v: %v", m, err)
		}
		if _, again, err := Decode(e); err != nil || !sameEncoding(t, m, again) {
			t.Errorf("round trip of %#v gives %#v, %v", m, again, err)
		}
	})
}

func sameEncoding(t *testing.T, a, b Message) bool {
	t.Helper()
	x, err := Encode(1, a)
	if err != nil {
		t.Fatal(err)
	}
	y, err := Encode(1, b)
	if err != nil {
		t.Fatal(err)
	}
	return reflect.DeepEqual(x, y)
}
