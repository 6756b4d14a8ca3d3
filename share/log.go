package share

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/teaselstream/teaselstream"
)

// maxEntries bounds the changes that a VM keeps; that many hold a few seconds of heartbeats of a large fleet.
const maxEntries = 4096

type (
	// datedEntry is a change and the earliest time at which it may have been made.
	datedEntry struct {
		teaselstream.Entry
		since time.Time
	}

	// Log keeps the recent changes that a VM has read, ordered by position, and the entries that exist after them; its zero value is
	// empty.
	Log struct {
		mu      sync.Mutex
		entries []datedEntry
		// from and to bound what the log covers: all changes after from, up to and including to. They are of one era.
		from, to teaselstream.Position
		// state holds all entries at to, or nil if they are not known.
		state map[string]teaselstream.Entry
		// updatedAt is when the store last answered this VM or the reader that it asked.
		updatedAt time.Time
		changed   chan struct{}
	}
)

// SetState records a list of all entries at a position, and clears the changes before it.
func (l *Log) SetState(at teaselstream.Position, entries []teaselstream.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries, l.from, l.to = nil, at, at
	l.state = make(map[string]teaselstream.Entry, len(entries))
	for _, e := range entries {
		l.state[e.Key] = e
	}
}

// Replace records all entries at a position, which may be of a later era, and returns how they differ from those before; ok is false
// if those are not known. The differences are at most age old.
func (l *Log) Replace(now time.Time, at teaselstream.Position, entries []teaselstream.Entry, age time.Duration) (changes []teaselstream.Entry, ok bool) {
	l.mu.Lock()
	known, before := l.state, l.to
	l.mu.Unlock()
	if known == nil {
		return nil, false
	}
	exists := make(map[string]bool, len(entries))
	for _, e := range entries {
		exists[e.Key] = true
		if old, ok := known[e.Key]; !ok || old.At != e.At {
			e.Age = age
			changes = append(changes, e)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(known)) {
		if !exists[key] {
			changes = append(changes, teaselstream.Entry{Key: key, At: at, Deleted: true, Age: age})
		}
	}
	slices.SortStableFunc(changes, func(a, b teaselstream.Entry) int { return cmp.Compare(a.At.Revision, b.At.Revision) })
	if at.Era != before.Era {
		// Changes of an earlier era say nothing to VMs that know the new one.
		l.SetState(at, entries)
		l.Add(now, at, at, nil)
		return changes, true
	}
	l.Add(now, before, at, changes)
	return changes, true
}

// Add records one answer: the changes after position after, up to position at. A gap to the earlier changes clears the log first.
func (l *Log) Add(now time.Time, after, at teaselstream.Position, entries []teaselstream.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updatedAt = now
	if l.to != after {
		l.entries, l.from, l.state = nil, after, nil
	}
	l.to = at
	for _, e := range entries {
		l.entries = append(l.entries, datedEntry{e, now.Add(-e.Age)})
		switch {
		case l.state == nil:
		case e.Deleted:
			delete(l.state, e.Key)
		default:
			l.state[e.Key] = e
		}
	}
	if over := len(l.entries) - maxEntries; over > 0 {
		l.from = l.entries[over-1].At
		l.entries = append([]datedEntry(nil), l.entries[over:]...)
	}
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

// SetUpdatedAt sets when the store answered, for changes that came from a reader.
func (l *Log) SetUpdatedAt(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updatedAt = at
}

// Since returns the last change of each key below a prefix after a position, and the position to continue from; ok is false
// if the log does not reach back that far or is of another era. A caller that has read the store itself may be ahead of the log and
// then gets no changes.
func (l *Log) Since(now time.Time, prefix string, after teaselstream.Position) (entries []teaselstream.Entry, at teaselstream.Position, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if after.Before(l.from) || after.Era != l.to.Era || l.to.Revision == 0 {
		return nil, teaselstream.Position{}, false
	}
	for _, e := range l.entries {
		if after.Before(e.At) && strings.HasPrefix(e.Key, prefix) {
			x := e.Entry
			x.Age = now.Sub(e.since)
			entries = append(entries, x)
		}
	}
	at = l.to
	if at.Before(after) {
		at = after
	}
	return latestPerKey(entries), at, true
}

// State returns all entries below a prefix with their position, for a caller at another one; ok is false if they are not known or if
// the caller knows later ones.
func (l *Log) State(prefix string, after teaselstream.Position) (entries []teaselstream.Entry, at teaselstream.Position, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(l.state)) {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, l.state[key])
		}
	}
	return entries, l.to, l.state != nil && !l.to.Before(after)
}

// latestPerKey keeps the last change of each key, with the greatest age of the key's changes: the state that the last change
// shows may date from the first.
func latestPerKey(entries []teaselstream.Entry) []teaselstream.Entry {
	last := make(map[string]int, len(entries))
	ages := make(map[string]time.Duration, len(entries))
	for i, e := range entries {
		last[e.Key] = i
		ages[e.Key] = max(ages[e.Key], e.Age)
	}
	var kept []teaselstream.Entry
	for i, e := range entries {
		if last[e.Key] == i {
			e.Age = ages[e.Key]
			kept = append(kept, e)
		}
	}
	return kept
}

// UpdatedAt returns when the store gave the newest answer in the log.
func (l *Log) UpdatedAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.updatedAt
}

// NextChange returns a channel that is closed at the next call of Add.
func (l *Log) NextChange() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return l.changed
}
