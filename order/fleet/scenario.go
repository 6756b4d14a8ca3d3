package fleet

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/invar"
	"github.com/teaselstream/teaselstream/order"
)

type (
	// Result is the outcome of a randomised run.
	Result struct {
		// Violations are violated invariants; Failures are calls that did not end as required.
		Violations []invar.Violation
		Failures   []string
		Calls      []*Call
		// Answers counts calls that ended with an answer, and Outcomes the errors by outcome.
		Answers  int
		Outcomes map[teaselstream.Outcome]int
		// Segments is the number of sealed segments in the store.
		Segments int
	}

	// Call is one submission and its result.
	Call struct {
		Request   teaselstream.RequestID
		Key       string
		VM        int
		Submitted time.Time
		Deadline  time.Time
		Replied   time.Time
		Reply     order.Reply
		// CallerLost means that the VM was not running at the submission, or crashed before it replied.
		CallerLost bool
		// InFirstWindow means that the VM accepted the call at most FirstSubmissionWindow after the key's creation.
		InFirstWindow bool
		// NoFaults means that no fault is active, so that the call must be answered.
		NoFaults bool
		// FinalResend means that the call is submitted after the faults, with the key of earlier calls.
		FinalResend bool
		// order numbers calls in the order in which VMs accept them. A call that waits for a paused VM is
		// numbered when the VM resumes.
		order   int
		created time.Time
		// lateBy is the time from the deadline to the reply, or from the end of a pause of the VM if that is later.
		lateBy time.Duration
	}

	scenario struct {
		fleet         *Fleet
		rand          teaselstream.Rand
		calls         map[teaselstream.RequestID]*Call
		result        Result
		faultInjector faultInjector
		accepted      int
		// canResolve means that the service supports fencing and status look-up, so that every claim can be ended.
		canResolve bool
	}
)

const (
	faultTime = 12 * time.Second
	// runTime leaves time for every call submitted after the faults to reach its deadline.
	runTime = faultTime + 40*time.Second
)

// Start is the virtual time at which runs begin.
var Start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// NewKey returns a UUIDv7 with the given time and number.
func NewKey(at time.Time, n int) string {
	var u uuid.UUID
	binary.BigEndian.PutUint64(u[:8], uint64(at.UnixMilli())<<16|0x7000)
	binary.BigEndian.PutUint64(u[8:], 1<<63|uint64(n))
	return u.String()
}

// Run makes one randomised run: callers submit and resend calls while faults start and end, and then without faults.
func Run(r teaselstream.Rand, faults invar.Faults) Result {
	spec := teaselstream.ServiceSpec{Name: "app", ChecksFencing: r.IntN(2) == 0, Timeout: serviceTimeout}
	if r.IntN(4) > 0 {
		spec.StatusLookup = "/orders/{key}"
	}
	f := New(Config{
		Start: Start, VMs: 2 + r.IntN(3), Seed: uint64(r.IntN(1 << 30)), Spec: spec, Faults: faults,
		Tick: 20 * time.Millisecond, ServiceTime: 20 * time.Millisecond, SealBytes: []int{1, 200, 0}[r.IntN(3)], SummarySegments: 1 + r.IntN(4),
	})
	s := &scenario{fleet: f, rand: r, calls: make(map[teaselstream.RequestID]*Call), result: Result{Outcomes: make(map[teaselstream.Outcome]int)}}
	s.canResolve = spec.ChecksFencing && spec.StatusLookup != ""
	f.OnReply = s.replied
	f.OnAccept = func(r teaselstream.RequestID) {
		s.accepted++
		c := s.calls[r]
		c.order, c.InFirstWindow = s.accepted, f.Queue.Now().Sub(c.created) <= order.FirstSubmissionWindow
	}
	s.schedule()
	s.faultInjector.schedule(s)
	f.Queue.RunUntil(Start.Add(runTime))
	s.checkEnd()
	s.result.Segments = f.Store.segments()
	return s.result
}

// schedule schedules first submissions, resends on other VMs, and calls after the faults.
func (s *scenario) schedule() {
	keys := 2 + s.rand.IntN(5)
	for n := range keys {
		at := time.Duration(s.rand.IntN(int(faultTime/time.Millisecond))) * time.Millisecond
		key := s.key(at, n)
		s.submit(at, at, key, false)
		// Resends follow within a short or a long time, some while earlier submissions still wait.
		spread := []int{1500, 4000, 9000}[s.rand.IntN(3)]
		for range s.rand.IntN(5) {
			s.submit(at+s.millis(10, spread), at, key, false)
		}
		s.submit(faultTime+5*time.Second, at, key, false).FinalResend = true
	}
	for n := range s.fleet.VMs {
		at := faultTime + 3*time.Second + time.Duration(n)*7*time.Millisecond
		s.submit(at, at, NewKey(Start.Add(at), 1000+n), true)
	}
}

// key returns a key in one of two shards, so that calls with different keys share a log.
func (s *scenario) key(at time.Duration, n int) string {
	for m := n; ; m += 100 {
		k := NewKey(Start.Add(at), m)
		if order.KeyOf("team", "app", k).Shard()%32 == 0 {
			return k
		}
	}
}

func (s *scenario) millis(from, to int) time.Duration {
	return time.Duration(from+s.rand.IntN(to-from)) * time.Millisecond
}

func (s *scenario) submit(at, created time.Duration, key string, noFaults bool) *Call {
	vm := s.rand.IntN(len(s.fleet.VMs))
	if noFaults {
		vm = len(s.calls) % len(s.fleet.VMs)
	}
	deadline := Start.Add(at + s.millis(300, 8000))
	if at > faultTime {
		deadline = Start.Add(at + 3*time.Second)
	}
	c := &Call{
		Request: teaselstream.RequestID(fmt.Sprintf("r%d", len(s.calls)+1)), Key: key, VM: vm, Submitted: Start.Add(at),
		Deadline: deadline, NoFaults: noFaults, created: Start.Add(created),
	}
	s.calls[c.Request] = c
	s.fleet.Queue.After(at, func() {
		v := s.fleet.VMs[vm]
		s.result.Calls = append(s.result.Calls, c)
		if !v.alive {
			c.CallerLost = true
			return
		}
		v.Submit(c.Request, teaselstream.ServiceCall{Request: c.Request, Method: "POST", Path: "/orders", Key: key, Body: []byte(key)}, deadline)
	})
	return c
}

func (s *scenario) replied(vm int, r order.Reply) {
	c := s.calls[r.Request]
	if !c.Replied.IsZero() {
		s.fail("request %s is answered twice", r.Request)
		return
	}
	c.Replied, c.Reply = s.fleet.Queue.Now(), r
	c.lateBy = c.Replied.Sub(c.Deadline)
	if resumedAt := s.fleet.VMs[vm].resumedAt; resumedAt.After(c.Deadline) {
		c.lateBy = c.Replied.Sub(resumedAt)
	}
	switch {
	case r.Err != nil:
		s.result.Outcomes[r.Err.Outcome]++
		s.fleet.InvariantRecorder.Check(r.Err.Outcome != teaselstream.Ran || len(s.fleet.service.ran[c.Key]) > 0, invar.NotRunIsTrue, "request %s is told Ran before key %s ran", r.Request, c.Key)
	default:
		s.result.Answers++
		s.fleet.InvariantRecorder.Check(string(r.Answer.Body) == c.Key+"#1", invar.AnswerOwnership, "request %s with key %s gets answer %s", r.Request, c.Key, r.Answer.Body)
	}
}

func (s *scenario) fail(format string, args ...any) {
	s.result.Failures = append(s.result.Failures, fmt.Sprintf(format, args...))
}

// checkEnd checks the conditions that can be decided only at the end of a run.
func (s *scenario) checkEnd() {
	v := s.fleet.service
	for key, ran := range v.ran {
		s.fleet.InvariantRecorder.Check(len(ran) <= 1, invar.AtMostOnce, "key %s ran for %v", key, ran)
	}
	for _, c := range s.result.Calls {
		if c.Reply.Err != nil && c.Reply.Err.Outcome == teaselstream.NotRun {
			s.checkNotRun(c)
		}
		switch {
		case c.CallerLost:
		case c.Replied.IsZero():
			s.fail("request %s got no answer", c.Request)
		case c.lateBy > time.Second:
			s.fail("request %s was answered %v after its deadline", c.Request, c.lateBy)
		case c.FinalResend && s.canResolve && c.Reply.Err != nil && c.Reply.Err.Outcome == teaselstream.Unknown:
			s.fail("request %s ended without a certain outcome after the faults: %v", c.Request, c.Reply.Err)
		case c.NoFaults && c.Reply.Err != nil:
			s.fail("request %s failed without faults: %v", c.Request, c.Reply.Err)
		}
	}
	for _, vm := range s.fleet.VMs {
		if vm.Log.Busy() {
			s.fail("%s is still busy at the end", vm.Name)
		}
	}
	s.result.Violations = s.fleet.InvariantRecorder.Found()
}

// checkNotRun checks that neither this submission nor an earlier one of its key ran, before or after the reply.
//
// Calls with InFirstWindow are checked against their own sends only, because NotRun for a young key assumes that the
// caller has not submitted it to another VM shortly before. If the service ignores fencing numbers, the call must not
// even have reached it.
func (s *scenario) checkNotRun(c *Call) {
	reached := s.fleet.service.written[c.Key]
	if s.fleet.service.checksFencing {
		reached = s.fleet.service.ran[c.Key]
	}
	for _, r := range reached {
		sender := s.calls[r]
		earlier := sender.order < c.order && !c.InFirstWindow
		s.fleet.InvariantRecorder.Check(sender != c && !earlier, invar.NotRunIsTrue, "request %s is told NotRun, key %s was sent for request %s", c.Request, c.Key, r)
	}
}
