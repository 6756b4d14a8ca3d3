package order

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

// submit checks a call's key and joins or starts its flight.
func (l *Log) submit(m Submit, w waiter) {
	at, timed := KeyTime(m.Call)
	if e := l.refusal(m, at, timed); e != nil {
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
		keyTime: at, timed: timed, began: w.began, latest: l.now, waiters: []waiter{w},
	}
	l.flights[k] = f
	f.shard.flights = append(f.shard.flights, f)
	f.shard.phases[waiting]++
	if w.peer == "" && l.pass(f) {
		return
	}
	l.evaluate(f)
}

// refusal returns the error of a call whose key is not acceptable.
func (l *Log) refusal(m Submit, at time.Time, timed bool) *teaselstream.Error {
	switch {
	case m.Call.Key == "":
		return failure(teaselstream.CodeKeyRequired, teaselstream.NotRun, "a non-idempotent call needs an Idempotency-Key")
	case len(m.Call.Key) > 255:
		return failure(teaselstream.CodeBadRequest, teaselstream.NotRun, "the Idempotency-Key is longer than 255 bytes")
	case !timed && !m.Service.KeyTimeOptional:
		return failure(teaselstream.CodeKeyTimeRequired, teaselstream.NotRun, "use a UUIDv7 or ULID as key, or state its time in "+CreatedHeader)
	case timed && at.After(l.now.Add(MaxKeyAhead)):
		return failure(teaselstream.CodeBadRequest, teaselstream.NotRun, "the time of the key lies in the future")
	case timed && at.Before(l.now.Add(-l.retention)):
		return expired()
	}
	return nil
}

// expired is Unknown because an earlier call with the key may have run.
func expired() *teaselstream.Error {
	return failure(teaselstream.CodeKeyExpired, teaselstream.Unknown, "the key is older than the retention of orders")
}

func failure(c teaselstream.Code, o teaselstream.Outcome, message string) *teaselstream.Error {
	return &teaselstream.Error{Code: c, Outcome: o, Message: message}
}

func reused() *teaselstream.Error {
	return failure(teaselstream.CodeKeyReused, teaselstream.NotRun, "the key was used for another call")
}

func (l *Log) join(f *flight, body BodyDigest, w waiter) {
	switch {
	case f.body != body:
		l.reply(nil, w, nil, reused())
	case f.phase == ended:
		l.reply(f, w, f.answer, nil)
	default:
		f.waiters = append(f.waiters, w)
		f.latest = l.now
		if w.began.Before(f.began) {
			f.began = w.began
		}
		if w.peer != "" && f.phase == forwarded {
			// Two VMs that each prefer the other would wait for each other.
			l.evaluate(f)
		}
	}
}
