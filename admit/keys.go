package admit

import (
	"sync/atomic"

	"github.com/teaselstream/teaselstream"
)

type (
	// KeyIndex finds the team of a key; it is rebuilt for each document and safe for concurrent use.
	KeyIndex struct {
		current atomic.Pointer[builtKeys]
	}

	builtKeys struct {
		document *teaselstream.Document
		teams    map[teaselstream.Digest]teaselstream.TeamID
	}
)

// Find returns the team whose key has the given SHA-256 digest; an empty digest belongs to no team.
func (x *KeyIndex) Find(d *teaselstream.Document, key teaselstream.Digest) (teaselstream.Team, bool) {
	b := x.current.Load()
	if b == nil || b.document != d {
		b = &builtKeys{document: d, teams: make(map[teaselstream.Digest]teaselstream.TeamID, len(d.Teams))}
		for _, t := range d.Teams {
			for _, k := range t.KeyDigests {
				b.teams[k] = t.Name
			}
		}
		x.current.Store(b)
	}
	if key == "" {
		return teaselstream.Team{}, false
	}
	t, ok := b.teams[key]
	return d.Teams[t], ok
}
