package crash

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/teaselstream/teaselstream"
)

// candidate is a trait with the evidence against it among the losses that no signature explains yet.
type candidate struct {
	trait Trait
	// losses counts the servers that ended with the trait, begun those whose response to such a request had started, and
	// requests the requests.
	losses, begun, requests int
}

func compareLosses(a, b lossKey) int {
	return cmp.Or(strings.Compare(string(a.server), string(b.server)), cmp.Compare(a.incarnation, b.incarnation))
}

// judge derives the signatures anew from all losses, since a later report can show that another trait explains them better.
func (t *Tracker) judge(now time.Time) []teaselstream.Cmd {
	if !t.unjudged {
		return nil
	}
	t.unjudged = false
	found := make(map[string]foundSignature)
	for _, s := range t.signatures() {
		s.since = now
		if earlier, ok := t.found[s.key()]; ok {
			s.since = earlier.since
		}
		found[s.key()] = s
	}
	t.found = found
	refused := make(map[string]Signature, len(found)+len(t.record))
	for key, s := range found {
		refused[key] = s.Signature
	}
	for key, s := range t.record {
		if !t.revoked[key] {
			refused[key] = s.Signature
		}
	}
	cmds := t.logChanges(refused)
	t.refused = refused
	q := &Quarantine{suspected: make(map[Trait]bool)}
	for _, key := range slices.Sorted(maps.Keys(refused)) {
		q.signatures = append(q.signatures, refused[key])
		for _, x := range refused[key].Traits {
			q.suspected[x] = true
		}
	}
	for _, l := range t.losses {
		for _, s := range l.requests {
			for _, x := range s.traits {
				q.suspected[x] = true
			}
		}
	}
	return append(cmds, PublishQuarantine{q})
}

func (t *Tracker) logChanges(refused map[string]Signature) []teaselstream.Cmd {
	var cmds []teaselstream.Cmd
	for _, key := range slices.Sorted(maps.Keys(refused)) {
		if _, ok := t.refused[key]; !ok {
			cmds = append(cmds, LogSignature{Signature: refused[key], Found: true, Servers: t.found[key].servers})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(t.refused)) {
		if _, ok := refused[key]; !ok {
			cmds = append(cmds, LogSignature{Signature: t.refused[key]})
		}
	}
	return cmds
}

// signatures returns the fewest signatures that explain the losses, by the greedy cover of sets: the trait that was on most
// servers at their end explains all these losses, and other requests on the same servers are not suspected of them.
func (t *Tracker) signatures() []foundSignature {
	open := maps.Clone(t.losses)
	var out []foundSignature
	for len(out) < maxSignatures {
		best, ok := worstTrait(open)
		if !ok || best.losses < minLosses {
			return out
		}
		s := foundSignature{Signature: commonTraits(open, best.trait)}
		for _, k := range slices.SortedFunc(maps.Keys(open), compareLosses) {
			if open[k].has(best.trait) {
				s.servers = append(s.servers, k.server)
				delete(open, k)
			}
		}
		out = append(out, s)
	}
	return out
}

func (l *loss) has(x Trait) bool {
	for _, s := range l.requests {
		if slices.Contains(s.traits, x) {
			return true
		}
	}
	return false
}

// worstTrait returns the trait with the most evidence; ok is false if there is none.
func worstTrait(losses map[lossKey]*loss) (best candidate, ok bool) {
	candidates := make(map[Trait]*candidate)
	for _, l := range losses {
		// seen holds the traits of this loss, with whether the response to such a request had begun.
		seen := make(map[Trait]bool)
		for _, s := range l.requests {
			for _, x := range s.traits {
				if candidates[x] == nil {
					candidates[x] = &candidate{trait: x}
				}
				candidates[x].requests++
				seen[x] = seen[x] || s.begun
			}
		}
		for x, begun := range seen {
			candidates[x].losses++
			if begun {
				candidates[x].begun++
			}
		}
	}
	for _, x := range slices.Sorted(maps.Keys(candidates)) {
		if c := candidates[x]; !ok || c.worseThan(best) {
			best, ok = *c, true
		}
	}
	return best, ok
}

func (c *candidate) worseThan(other candidate) bool {
	return cmp.Or(cmp.Compare(c.losses, other.losses), cmp.Compare(c.begun, other.begun), cmp.Compare(c.requests, other.requests)) > 0
}

// commonTraits returns the traits that all suspected requests with a trait share. Those that always occurred together cannot
// be told apart, and a request with only some of them may be sound.
func commonTraits(losses map[lossKey]*loss, x Trait) Signature {
	var common []Trait
	first := true
	for _, l := range losses {
		for _, s := range l.requests {
			if !slices.Contains(s.traits, x) {
				continue
			}
			if first {
				common, first = slices.Clone(s.traits), false
				continue
			}
			common = slices.DeleteFunc(common, func(y Trait) bool { return !slices.Contains(s.traits, y) })
		}
	}
	slices.Sort(common)
	return Signature{Traits: common}
}
