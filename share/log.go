package share

import (
	"strings"
	"sync"
	"time"

	"github.com/teaselstream/teaselstream"
)

// keptEntries bounds the changes that a VM keeps for others; it holds some seconds of heartbeats of a large fleet.
const keptEntries = 4096

// logged is a change and the earliest time at which it may have been made.
type logged struct {
	teaselstream.Entry
	since time.Time
}

// Log keeps the recent changes that a VM has read, in the order of their revisions; its zero value is empty.
type Log struct {
	mu      sync.Mutex
	entries []logged
	// from and to bound the revisions that the log covers: all changes after from up to to.
	from, to teaselstream.Revision
	// read is when the store, or a reader that has reached it, last answered.
	read    time.Time
	changed chan struct{}
}

// Add records changes after one revision up to another, as one answer brought them. A gap starts the log anew.
func (l *Log) Add(now time.Time, after, at teaselstream.Revision, entries []teaselstream.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.read = now
	if l.to != after {
		l.entries, l.from = nil, after
	}
	l.to = at
	for _, e := range entries {
		l.entries = append(l.entries, logged{e, now.Add(-e.Age)})
	}
	if over := len(l.entries) - keptEntries; over > 0 {
		l.from = l.entries[over-1].Revision
		l.entries = append([]logged(nil), l.entries[over:]...)
	}
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

// SetUpdatedAt sets when the store last answered, for changes that came from a reader.
func (l *Log) SetUpdatedAt(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.read = at
}

// Since returns the last change of each key below a prefix after a revision, and the revision to continue from; ok is false if the log
// does not reach back that far. A caller that has read the store itself may be ahead of the log, which then has nothing new.
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
	return newest(entries), max(l.to, after), true
}

// newest keeps the last change of each key, with the greatest age of its changes: what the last one says may have been
// so since the first.
func newest(entries []teaselstream.Entry) []teaselstream.Entry {
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

// UpdatedAt returns when the log was last brought up to date.
func (l *Log) UpdatedAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.read
}

// NextChange returns a channel that is closed with the next change.
func (l *Log) NextChange() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return l.changed
}
