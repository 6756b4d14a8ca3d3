package share

import (
	"strings"
	"sync"
	"time"

	"github.com/teaselstream/teaselstream"
)

// maxEntries bounds the changes that a VM keeps; that many hold a few seconds of heartbeats of a large fleet.
const maxEntries = 4096

// datedEntry is a change and the earliest time at which it may have been made.
type datedEntry struct {
	teaselstream.Entry
	since time.Time
}

// Log keeps the recent changes that a VM has read, ordered by revision; its zero value is empty.
type Log struct {
	mu      sync.Mutex
	entries []datedEntry
	// from and to bound what the log covers: all changes after revision from, up to and including revision to.
	from, to teaselstream.Revision
	// updatedAt is when the store last answered this VM or the reader that it asked.
	updatedAt time.Time
	changed   chan struct{}
}

// Add records one answer: the changes after revision after, up to revision at. A gap to the earlier changes clears the log
// first.
func (l *Log) Add(now time.Time, after, at teaselstream.Revision, entries []teaselstream.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updatedAt = now
	if l.to != after {
		l.entries, l.from = nil, after
	}
	l.to = at
	for _, e := range entries {
		l.entries = append(l.entries, datedEntry{e, now.Add(-e.Age)})
	}
	if over := len(l.entries) - maxEntries; over > 0 {
		l.from = l.entries[over-1].Revision
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

// Since returns the last change of each key below a prefix after a revision, and the revision to continue from; ok is false
// if the log does not reach back that far. A caller that has read the store itself may be ahead of the log and then gets no
// changes.
func (l *Log) Since(now time.Time, prefix string, after teaselstream.Revision) (entries []teaselstream.Entry, at teaselstream.Revision, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if after < l.from || l.to == 0 {
		return nil, 0, false
	}
	for _, e := range l.entries {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			x := e.Entry
			x.Age = now.Sub(e.since)
			entries = append(entries, x)
		}
	}
	return latestPerKey(entries), max(l.to, after), true
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
