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
		t.derived[s.key()] = true
		s.since = now
		if earlier, ok := t.found[s.key()]; ok {
			s.since = earlier.since
		}
		found[s.key()] = s
	}
	t.found = found
	t.revokeSuperseded()
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
	q := &Quarantine{suspected: make(map[Trait]bool), trials: maps.Clone(t.trials)}
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

// revokeSuperseded revokes the recorded signatures that this VM has derived itself and that others explain better by now. A VM that knows
// only some of the losses, since it started later, may find a narrower signature in them and keeps what is recorded.
func (t *Tracker) revokeSuperseded() {
	if len(t.found) >= maxSignatures {
		// The losses of a recorded signature may be among those that are left.
		return
	}
	for key, s := range t.record {
		if _, ok := t.found[key]; ok || !t.derived[key] {
			continue
		}
		n := 0
		for _, l := range t.losses {
			if explained, _ := l.explainedBy(s.Signature); explained {
				n++
			}
		}
		if n >= minLosses {
			t.revoked[key] = true
		}
	}
	maps.DeleteFunc(t.derived, func(key string, _ bool) bool {
		_, recorded := t.record[key]
		_, found := t.found[key]
		return !recorded && !found
	})
}

func (t *Tracker) logChanges(refused map[string]Signature) []teaselstream.Cmd {
	var cmds []teaselstream.Cmd
	for _, key := range slices.Sorted(maps.Keys(refused)) {
		if _, ok := t.refused[key]; !ok {
			cmds = append(cmds, LogSignature{Signature: refused[key], Found: true, Servers: t.found[key].servers, Begun: t.found[key].begun})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(t.refused)) {
		if _, ok := refused[key]; !ok {
			cmds = append(cmds, LogSignature{Signature: t.refused[key]})
		}
	}
	return cmds
}

// signatures returns the fewest signatures that explain the losses, by the greedy cover of sets: the traits that were on most
// servers at their end explain all these losses, and other requests on the same servers are not suspected of them. A server crashes as
// it begins to write an answer, so that requests whose answer had begun go first. Those that were only waiting count for the losses that
// remain, since the head of an answer may be lost with its server.
func (t *Tracker) signatures() []foundSignature {
	open := maps.Clone(t.losses)
	var out []foundSignature
	for _, onlyBegun := range []bool{true, false} {
		for len(out) < maxSignatures {
			best, ok := worstTrait(open, onlyBegun)
			if !ok || best.losses < minLosses {
				break
			}
			s := foundSignature{Signature: narrowest(open, best.trait, onlyBegun)}
			for _, k := range slices.SortedFunc(maps.Keys(open), compareLosses) {
				explained, begun := open[k].explainedBy(s.Signature)
				if !explained {
					continue
				}
				s.servers = append(s.servers, k.server)
				if begun {
					s.begun++
				}
				delete(open, k)
			}
			out = append(out, s)
		}
	}
	return out
}

// explainedBy reports whether a request of the loss has the signature, and whether the answer to such a request had begun.
func (l *loss) explainedBy(x Signature) (explained, begun bool) {
	for _, s := range l.requests {
		if x.matches(s.traits) {
			explained, begun = true, begun || s.begun
		}
	}
	return explained, begun
}

// worstTrait returns the trait with the most evidence among all suspected requests, or those whose answer had begun; ok is false if there is
// none.
func worstTrait(losses map[lossKey]*loss, onlyBegun bool) (best candidate, ok bool) {
	candidates := make(map[Trait]*candidate)
	for _, l := range losses {
		// seen holds the traits of this loss, with whether the response to such a request had begun.
		seen := make(map[Trait]bool)
		for _, s := range l.requests {
			if onlyBegun && !s.begun {
				continue
			}
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

// narrowest returns the largest set of traits, a given one among them, that explains the same losses as that one alone: each loss has a
// request with all of them. A signature that is too narrow ends with the next crash, which it does not explain. One that is too wide
// refuses sound requests too, and after that no answer and no crash can show the mistake.
func narrowest(losses map[lossKey]*loss, x Trait, onlyBegun bool) Signature {
	s := Signature{Traits: []Trait{x}}
	for {
		further := furtherTraits(losses, s, onlyBegun)
		if len(further) == 0 {
			slices.Sort(s.Traits)
			return s
		}
		// The trait of the fewest requests is the narrowest one. A server crashes at the first harmful request that it begins, while
		// any number of sound ones may wait on it.
		s.Traits = append(s.Traits, slices.MinFunc(slices.Sorted(maps.Keys(further)), func(a, b Trait) int { return cmp.Compare(further[a], further[b]) }))
	}
}

// furtherTraits returns the traits that a request with the signature has in each loss that the signature explains, with the number of these
// requests.
func furtherTraits(losses map[lossKey]*loss, x Signature, onlyBegun bool) map[Trait]int {
	var common map[Trait]int
	for _, l := range losses {
		here := make(map[Trait]int)
		explained := false
		for _, s := range l.requests {
			if onlyBegun && !s.begun || !x.matches(s.traits) {
				continue
			}
			explained = true
			for _, y := range s.traits {
				if !slices.Contains(x.Traits, y) {
					here[y]++
				}
			}
		}
		switch {
		case !explained:
		case common == nil:
			common = here
		default:
			maps.DeleteFunc(common, func(y Trait, _ int) bool { return here[y] == 0 })
			for y := range common {
				common[y] += here[y]
			}
		}
	}
	return common
}
