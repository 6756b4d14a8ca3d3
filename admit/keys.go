package admit

import (
	"sync/atomic"

	"github.com/teaselstream/teaselstream"
)

type (
	// KeyIndex maps digests of API keys to teams; it is rebuilt for each new document and safe for concurrent use.
	KeyIndex struct {
		current atomic.Pointer[keyTable]
	}

	// keyTable is the index of one document.
	keyTable struct {
		document *teaselstream.Document
		teams    map[teaselstream.Digest]teaselstream.TeamID
	}
)

// Find returns the team that owns the API key with the given SHA-256 digest; an empty digest matches no team.
func (x *KeyIndex) Find(d *teaselstream.Document, key teaselstream.Digest) (teaselstream.Team, bool) {
	b := x.current.Load()
	if b == nil || b.document != d {
		b = &keyTable{document: d, teams: make(map[teaselstream.Digest]teaselstream.TeamID, len(d.Teams))}
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
