package order

import (
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	// lookUpInterval is the interval of status look-ups, and of reads of a stored answer, for one call.
	lookUpInterval = 500 * time.Millisecond
	// firstLookUpRetry is the base of the backoff after failed look-ups, whose limit is lookUpInterval.
	firstLookUpRetry = 25 * time.Millisecond
	// defaultServiceTimeout bounds a call to a service for which the document states no timeout.
	defaultServiceTimeout = 30 * time.Second
)

// advance performs the time-triggered step of a flight, if one is due.
func (l *Log) advance(f *flight) {
	if f.removed || l.now.Before(f.advanceAt) {
		return
	}
	switch f.phase {
	case forwarded:
		l.checkForward(f)
	case awaitingOtherClaim, resolving:
		l.resolve(f)
	case replaying, storingResult:
		if r := f.retry; r != nil {
			f.retry = nil
			r()
		}
	}
}

// resolve queries the service about a claim whose holder may never end it.
func (l *Log) resolve(f *flight) {
	s, ok := f.shard.index[f.key]
	if !ok || f.lookingUp || f.fencedClaim == s.claim {
		return
	}
	h := f.shard.holderOf(l, s)
	own := h == holder{l.config.VM, l.config.Incarnation}
	if own && f.phase == awaitingOtherClaim && s.state == Claimed {
		// This VM's own claim is unsent, and its release is queued or being written.
		return
	}
	// A holder with this VM's name and another incarnation is a process that has ended.
	dead := !own && (!l.alive(h.vm) || h.vm == l.config.VM)
	age := l.now.Sub(time.UnixMilli(s.at))
	if f.phase != resolving && s.state != Unknown && !dead && age <= SendWindow {
		return
	}
	ended := f.phase == resolving || s.state == Unknown
	if f.service.StatusLookup == "" {
		if ended {
			l.replyAndRemove(f, nil, l.lostError(f))
		}
		return
	}
	timeout := f.service.Timeout
	if timeout <= 0 {
		timeout = defaultServiceTimeout
	}
	fence := f.service.ChecksFencing && (ended || dead || age > SendWindow+timeout)
	l.lookUp(f, s, fence, ended || dead && age > SendWindow, dead)
}

// lookUp sends one status look-up. If fence is set, it carries a fencing number that makes the service refuse the claim
// from then on.
func (l *Log) lookUp(f *flight, s keyState, fence, final, dead bool) {
	c := teaselstream.ServiceCall{Request: f.waiters[0].request, Method: http.MethodGet, Key: f.call.Key}
	c.Path = strings.ReplaceAll(f.service.StatusLookup, "{key}", url.PathEscape(f.call.Key))
	if fence {
		c.Fencing = s.claim + 1
	}
	f.lookingUp = true
	id := l.newOperation(func(r result) {
		f.lookingUp = false
		f.advanceAt = l.now.Add(lookUpInterval)
		if f.removed {
			return
		}
		if now := f.shard.index[f.key]; now.claim != s.claim || f.phase != awaitingOtherClaim && f.phase != resolving {
			return
		}
		switch {
		case r.err != nil:
			// A later look-up may reach another replica that answers, so the caller keeps waiting.
			f.lookUpFailures++
			f.advanceAt = l.now.Add(teaselstream.Backoff(l.config.Rand, firstLookUpRetry, lookUpInterval, f.lookUpFailures))
		case r.found:
			l.found(f, s, final || dead)
		case fence:
			// NotRun is told only when the release is durable, because the holder may be about to renew the claim.
			f.sent, f.fencedClaim = false, s.claim
			l.releaseClaim(f, s.claim)
			f.enter(awaitingOtherClaim)
		case final:
			l.replyAndRemove(f, nil, l.lostError(f))
		}
	})
	l.emit(LookUp{ID: id, Service: f.service, Call: c})
}

// found handles a call that the service knows. If the holder is live, it may still receive and store the answer
// itself.
func (l *Log) found(f *flight, s keyState, final bool) {
	f.ran = true
	if !final {
		return
	}
	l.enqueue(f.shard, &change{record: Record{Key: f.key, Claim: s.claim, State: Ran, Body: f.body}})
	l.applyLocal(f, s.claim, Ran)
	l.replyAndRemove(f, nil, l.lostError(f))
}

// lostError returns the error for a call that ran, or may have run, and whose answer is lost.
func (l *Log) lostError(f *flight) *teaselstream.Error {
	o := l.unknown()
	if f.ran {
		o = teaselstream.Ran
	}
	return newError(teaselstream.CodeOutcomeUnknown, o, "the call was sent and its answer is lost")
}

// claimClosedError returns the error for callers that may not claim the key any more, because a claim was released.
func claimClosedError() *teaselstream.Error {
	return newError(teaselstream.CodeServerLost, teaselstream.NotRun, "the call did not run; its claim is closed")
}
