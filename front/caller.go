package front

import (
	"bytes"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/serve"
	"github.com/teaselstream/teaselstream/sock"
)

const (
	maxRequestIDBytes = 64
	maxDeadline       = 24 * time.Hour
)

type (
	// callerInfo holds the caller's identity and options, as the headers of a request give them.
	callerInfo struct {
		id       teaselstream.RequestID
		key      teaselstream.Digest
		team     teaselstream.Team
		snapshot *teaselstream.Snapshot
		arrived  time.Time
		deadline time.Time
		worth    teaselstream.Worth
		// statedWorth is the value of the X-Worth header, or 0 without one.
		statedWorth teaselstream.Worth
		priority    teaselstream.Priority
		// hasPriority distinguishes priority 0 from a missing header.
		hasPriority bool
	}

	// idGenerator makes request ids that differ between VMs, between processes and between requests.
	idGenerator struct {
		prefix string
		next   atomic.Uint64
	}
)

// identify authenticates a request and reads its headers; the request id is set even if it returns an error.
func (s *Server) identify(c *fasthttp.RequestCtx) (callerInfo, error) {
	r := callerInfo{id: s.ids.make(c.Request.Header.Peek("X-Request-Id")), arrived: c.Time()}
	snap := s.options.Snapshot()
	if snap == nil || snap.Document == nil {
		return r, &teaselstream.Error{
			Code: teaselstream.CodeNoRoute, Outcome: teaselstream.NotRun,
			Message: "no document is in force yet", RetryAfter: time.Second,
		}
	}
	if key := bearerKey(c); len(key) > 0 {
		r.key = digestOf(key)
	}
	team, ok := s.keys.Find(snap.Document, r.key)
	if !ok {
		s.options.Shadow.OfferRefusedKey(snap, r.key)
		return r, refusal(teaselstream.CodeUnauthorized, "the key is missing or belongs to no team")
	}
	r.snapshot = snap
	r.team = team
	return r, r.readOptionalHeaders(c)
}

func (r *callerInfo) readOptionalHeaders(c *fasthttp.RequestCtx) error {
	h := &c.Request.Header
	r.worth = r.team.Worth
	if v := h.Peek("X-Deadline-Ms"); len(v) > 0 {
		ms, err := strconv.ParseInt(string(v), 10, 64)
		if err != nil || ms > int64(maxDeadline/time.Millisecond) {
			return refusal(teaselstream.CodeBadRequest, "X-Deadline-Ms must be milliseconds from now, at most a day")
		}
		if ms <= 0 {
			return refusal(teaselstream.CodeDeadlineExceeded, "the deadline passed before the request arrived")
		}
		r.deadline = r.arrived.Add(time.Duration(ms) * time.Millisecond)
	}
	if v := h.Peek("X-Worth"); len(v) > 0 {
		w, err := strconv.ParseFloat(string(v), 64)
		if err != nil || !(w > 0) || w > 1e6 {
			return refusal(teaselstream.CodeBadRequest, "X-Worth must be a number above 0 and at most 1000000")
		}
		r.statedWorth = teaselstream.Worth(w)
		r.worth = r.statedWorth
	}
	if v := h.Peek("X-Priority"); len(v) > 0 {
		p, err := strconv.Atoi(string(v))
		if err != nil {
			return refusal(teaselstream.CodeBadRequest, "X-Priority must be an integer")
		}
		r.priority, r.hasPriority = teaselstream.Priority(p), true
	}
	return nil
}

// modelRequest returns a model request with the fields that come from the headers.
func (r *callerInfo) modelRequest(c *fasthttp.RequestCtx) serve.Request {
	conn := c.Conn()
	return serve.Request{
		ID: r.id, Team: r.team, Arrived: r.arrived, Deadline: r.deadline, Worth: r.worth,
		Priority: r.priority, HasPriority: r.hasPriority,
		Disconnected: func() bool { return sock.PeerClosed(conn) },
	}
}

func digestOf(key []byte) teaselstream.Digest {
	sum := sha256.Sum256(key)
	return teaselstream.Digest(hex.EncodeToString(sum[:]))
}

// bearerKey returns the key of the Authorization header, or nil.
func bearerKey(c *fasthttp.RequestCtx) []byte {
	scheme, key, ok := bytes.Cut(c.Request.Header.Peek("Authorization"), []byte(" "))
	if !ok || !bytes.EqualFold(scheme, []byte("Bearer")) {
		return nil
	}
	return bytes.TrimSpace(key)
}

func (s *idGenerator) init(v teaselstream.VMID) {
	s.prefix = string(v) + "-" + rand.Text()[:8] + "-"
}

// make returns a new id, followed by the caller's own id if that is short and needs no escaping.
//
// The new part keeps ids unique although callers may reuse theirs.
func (s *idGenerator) make(given []byte) teaselstream.RequestID {
	id := s.prefix + strconv.FormatUint(s.next.Add(1), 36)
	if len(given) == 0 || len(given) > maxRequestIDBytes {
		return teaselstream.RequestID(id)
	}
	if bytes.ContainsFunc(given, unsafeInID) {
		return teaselstream.RequestID(id)
	}
	return teaselstream.RequestID(id + "-" + string(given))
}

// unsafeInID reports whether a character would need escaping in a path or in JSON.
func unsafeInID(r rune) bool {
	switch {
	case 'a' <= r && r <= 'z', 'A' <= r && r <= 'Z', '0' <= r && r <= '9', r == '-', r == '_':
		return false
	}
	return true
}
