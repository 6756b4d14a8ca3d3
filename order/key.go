package order

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/teaselstream/teaselstream"
)

const (
	// Shards is the number of logs in the store. Changing it maps keys to other logs, so that existing claims are not
	// found.
	Shards = 64
	// MaxKeyAhead is how far in the future a key's time may lie.
	MaxKeyAhead = 5 * time.Minute
	// CreatedHeader states the creation time, as RFC 3339, of a key that does not contain one.
	CreatedHeader = "Idempotency-Created"

	crockford = "0123456789ABCDEFGHJKMNPQRSTVWXYZ"
)

type (
	// Key is a digest of team, service and the caller's Idempotency-Key.
	Key [16]byte

	// Shard numbers a log in [0, Shards).
	Shard uint16

	// BodyDigest is a digest of method, path and body, which detects the reuse of a key for a different call.
	BodyDigest [8]byte
)

// KeyOf returns the digest of a caller's key.
func KeyOf(t teaselstream.TeamID, v teaselstream.ServiceID, key string) Key {
	return Key(digest(string(t), string(v), key)[:16])
}

// Shard returns the log that holds the key.
func (k Key) Shard() Shard { return Shard(k[0]) % Shards }

// BodyDigestOf returns the digest of a call's method, path and body.
func BodyDigestOf(c teaselstream.ServiceCall) BodyDigest {
	return BodyDigest(digest(c.Method, c.Path, string(c.Body))[:8])
}

func digest(parts ...string) []byte {
	h := sha256.New()
	for _, p := range parts {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(p))))
		h.Write([]byte(p))
	}
	return h.Sum(nil)
}

// KeyTime returns the creation time of a call's key and whether it has one. UUIDv7 and ULID contain it; other keys need
// CreatedHeader.
func KeyTime(c teaselstream.ServiceCall) (time.Time, bool) {
	if u, err := uuid.Parse(c.Key); err == nil && u.Version() == 7 {
		return time.UnixMilli(int64(binary.BigEndian.Uint64(u[:8]) >> 16)), true
	}
	if t, ok := ulidTime(c.Key); ok {
		return t, true
	}
	for _, h := range c.Header {
		if strings.EqualFold(h[0], CreatedHeader) {
			t, err := time.Parse(time.RFC3339, h[1])
			return t, err == nil
		}
	}
	return time.Time{}, false
}

func ulidTime(key string) (time.Time, bool) {
	if len(key) != 26 || key[0] > '7' {
		return time.Time{}, false
	}
	var ms int64
	for n, c := range strings.ToUpper(key) {
		v := strings.IndexRune(crockford, c)
		if v < 0 {
			return time.Time{}, false
		}
		if n < 10 {
			ms = ms<<5 | int64(v)
		}
	}
	return time.UnixMilli(ms), true
}

// PreferredVM returns the live VM to which calls of a shard are forwarded, or "" if none is live.
func PreferredVM(s Shard, live []teaselstream.VMID) teaselstream.VMID {
	if len(live) == 0 {
		return ""
	}
	return teaselstream.RendezvousOrder(fmt.Sprintf("order/%d", s), live)[0]
}
