package crash

import (
	"maps"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	// restoreTime is how long after a restore of the store the signatures of before are kept although the record lacks them. By then
	// a VM has completed it, and a signature that it lacks was taken out by a VM.
	restoreTime = 10 * time.Second
	// recordSubject is the subject by which VMs are ranked to complete the record.
	recordSubject = "record"
)

// allSound reports whether servers have answered requests with each of the traits within reportTTL. A signature of such traits is wrong:
// the VM that found it was cut off, or saw none of these answers. An older answer does not show that, since a trait may have become harmful
// with a new version of a server.
func (t *Tracker) allSound(now time.Time, traits []Trait) bool {
	return !slices.ContainsFunc(traits, func(x Trait) bool { at, ok := t.soundAt[x]; return !ok || now.Sub(at) > reportTTL })
}

func (t *Tracker) readRecord(now time.Time, m RecordRead) {
	if m.At.Before(t.recordAt) {
		return
	}
	if t.recordAt.Era != 0 && m.At.Era != t.recordAt.Era {
		t.restoredAt = now
	}
	before := t.record
	t.recordAt, t.incomplete = m.At, false
	t.record = make(map[string]RecordedSignature)
	for _, s := range m.Record.Signatures {
		if now.Sub(time.Unix(s.FoundAt, 0)) <= signatureTTL && len(s.Traits) > 0 {
			t.record[s.key()] = s
			if _, known := t.refused[s.key()]; !known && t.allSound(now, s.Traits) {
				t.revoked[s.key()] = true
			}
		}
	}
	if !t.restoredAt.IsZero() && now.Sub(t.restoredAt) < restoreTime {
		t.keepRecorded(now, before)
	}
	maps.DeleteFunc(t.revoked, func(key string, _ bool) bool { _, ok := t.record[key]; return !ok })
	t.unjudged = true
}

// keepRecorded keeps signatures that were recorded before the store came back from an older copy, so that the record is completed.
func (t *Tracker) keepRecorded(now time.Time, before map[string]RecordedSignature) {
	for key, s := range before {
		if _, ok := t.record[key]; !ok && !t.revoked[key] && now.Sub(time.Unix(s.FoundAt, 0)) <= signatureTTL {
			t.record[key], t.incomplete = s, true
		}
	}
}

// writeRecord returns a write of the record once a signature has stood for recordDelay and is not in it, or if one of its
// signatures was revoked here. A VM behind the first in rank waits longer, so that one VM writes.
func (t *Tracker) writeRecord(now time.Time) []teaselstream.Cmd {
	if now.Sub(t.recordTriedAt) < recordDelay {
		return nil
	}
	next := maps.Clone(t.record)
	changed := t.incomplete && now.Sub(t.restoredAt) >= recordDelay*time.Duration(1+t.rank(recordSubject))
	for key := range t.revoked {
		if _, ok := next[key]; ok {
			delete(next, key)
			changed = true
		}
	}
	for key, s := range t.found {
		if _, ok := next[key]; !ok && now.Sub(s.since) >= recordDelay*time.Duration(1+t.rank(key)) {
			next[key] = RecordedSignature{s.Signature, now.Unix()}
			changed = true
		}
	}
	if !changed {
		return nil
	}
	t.recordTriedAt = now
	var r Record
	for _, key := range slices.Sorted(maps.Keys(next)) {
		r.Signatures = append(r.Signatures, next[key])
	}
	slices.SortStableFunc(r.Signatures, func(a, b RecordedSignature) int { return int(b.FoundAt - a.FoundAt) })
	r.Signatures = r.Signatures[:min(len(r.Signatures), maxSignatures)]
	return []teaselstream.Cmd{WriteRecord{r, t.recordAt.Revision}}
}
