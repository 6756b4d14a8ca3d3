package crash

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/teaselstream/teaselstream"
)

type (
	// Trait is a property that several requests may share: a segment of their prompt, or their whole content.
	Trait string

	// Signature is the set of traits, sorted, that the requests which crash servers have in common.
	Signature struct {
		Traits []Trait
	}

	// Quarantine is an immutable set of signatures, some of which may be on trial; nil is the empty set.
	Quarantine struct {
		signatures []Signature
		suspected  map[Trait]bool
		// trials holds the open trials by the key of their signature; they are shared with later sets.
		trials map[string]*trial
	}
)

const (
	segmentPrefix = "segment/"
	contentPrefix = "content/"
)

// SegmentTrait returns the trait of a prompt segment of a service's model.
func SegmentTrait(service teaselstream.ServiceID, id teaselstream.SegmentID) Trait {
	return Trait(segmentPrefix + string(service) + "/" + string(id))
}

// ContentTrait returns the trait of a whole request: its team, method, target and body. It uses a cryptographic hash, so that
// no caller can cause another request to be refused.
func ContentTrait(team teaselstream.TeamID, method, target string, body []byte) Trait {
	h := sha256.New()
	for _, s := range []string{string(team), method, target, string(body)} {
		// Writes to a hash never fail.
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(s))))
		h.Write([]byte(s))
	}
	return Trait(contentPrefix + hex.EncodeToString(h.Sum(nil)[:16]))
}

// isContent reports whether the trait is the content of a whole request.
func (x Trait) isContent() bool { return strings.HasPrefix(string(x), contentPrefix) }

// matches reports whether a request with the given traits has all traits of the signature.
func (s Signature) matches(traits []Trait) bool {
	for _, x := range s.Traits {
		if !slices.Contains(traits, x) {
			return false
		}
	}
	return len(s.Traits) > 0
}

func (s Signature) key() string {
	text := make([]string, len(s.Traits))
	for i, x := range s.Traits {
		text[i] = string(x)
	}
	return strings.Join(text, " ")
}

// Refuses reports whether a request with the given traits is refused.
func (q *Quarantine) Refuses(traits []Trait) bool {
	if q == nil {
		return false
	}
	return slices.ContainsFunc(q.signatures, func(s Signature) bool { return s.matches(traits) })
}

// Suspects reports whether a trait is under suspicion or part of a signature, so that an answer to a request with it matters.
func (q *Quarantine) Suspects(x Trait) bool { return q != nil && q.suspected[x] }
