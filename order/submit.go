package order

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

// submit checks a call's key, and joins the key's flight or starts one.
func (l *Log) submit(m Submit, w waiter) {
	at, hasKeyTime := KeyTime(m.Call)
	if e := l.checkKey(m, at, hasKeyTime); e != nil {
		l.reply(nil, w, nil, e)
		return
	}
	k := KeyOf(m.Team, m.Service.Name, m.Call.Key)
	body := BodyDigestOf(m.Call)
	if f, ok := l.flights[k]; ok {
		l.join(f, body, w)
		return
	}
	f := &flight{
		key: k, shard: l.shards[k.Shard()], team: m.Team, service: m.Service, call: m.Call, body: body,
		keyTime: at, hasKeyTime: hasKeyTime, submitted: w.submitted, lastSubmitted: l.now, waiters: []waiter{w},
	}
	l.flights[k] = f
	f.shard.flights = append(f.shard.flights, f)
	f.shard.phaseCount[awaitingIndex]++
	if w.peer == "" && l.forwardToPreferred(f) {
		return
	}
	l.evaluate(f)
}

// checkKey returns an error if the call's key is not acceptable.
func (l *Log) checkKey(m Submit, at time.Time, timed bool) *teaselstream.Error {
	switch {
	case m.Call.Key == "":
		return newError(teaselstream.CodeKeyRequired, teaselstream.NotRun, "a non-idempotent call needs an Idempotency-Key")
	case len(m.Call.Key) > 255:
		return newError(teaselstream.CodeBadRequest, teaselstream.NotRun, "the Idempotency-Key is longer than 255 bytes")
	case !timed && !m.Service.KeyTimeOptional:
		return newError(teaselstream.CodeKeyTimeRequired, teaselstream.NotRun, "use a UUIDv7 or ULID as key, or state its time in "+CreatedHeader)
	case timed && at.After(l.now.Add(MaxKeyAhead)):
		// A key may be up to MaxKeyAhead in the future.
		return newError(teaselstream.CodeBadRequest, teaselstream.NotRun, "the time of the key lies in the future")
	case timed && at.Before(l.now.Add(-l.retention)):
		return keyExpiredError()
	}
	return nil
}

// keyExpiredError has the outcome Unknown, because an earlier call with the key may have run.
func keyExpiredError() *teaselstream.Error {
	return newError(teaselstream.CodeKeyExpired, teaselstream.Unknown, "the key is older than the retention of orders")
}

func newError(c teaselstream.Code, o teaselstream.Outcome, message string) *teaselstream.Error {
	return &teaselstream.Error{Code: c, Outcome: o, Message: message}
}

func keyReusedError() *teaselstream.Error {
	return newError(teaselstream.CodeKeyReused, teaselstream.NotRun, "the key was used for another call")
}

func (l *Log) join(f *flight, body BodyDigest, w waiter) {
	switch {
	case f.body != body:
		l.reply(nil, w, nil, keyReusedError())
	case f.phase == storingResult:
		l.reply(f, w, f.answer, nil)
	default:
		f.waiters = append(f.waiters, w)
		f.lastSubmitted = l.now
		if w.submitted.Before(f.submitted) {
			f.submitted = w.submitted
		}
		if w.peer != "" && f.phase == forwarded {
			// The VM views differ, and each VM forwards to the other: neither may wait for the other's answer.
			l.evaluate(f)
		}
	}
}
