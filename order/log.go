package order

import (
	"math/rand/v2"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/invar"
)

const (
	// SendWindow is how long after the start of its write a claim may still lead to a send.
	SendWindow = 2 * time.Second
	// FirstSubmissionWindow is the age up to which a timed key is taken as submitted for the first time while the log cannot be read.
	FirstSubmissionWindow = 2 * time.Second
	// MaxClockSkew is the clock difference between VMs up to which the order of submissions on them is recognised.
	MaxClockSkew = 250 * time.Millisecond
	// DefaultRetention applies if the document states none.
	DefaultRetention = 24 * time.Hour
	// DefaultWritesPerSecond is the share of the store's 500 writes/s that orders of all VMs may use.
	// The bucket's burst comes on top, so it stays below the bound of 300 writes/s.
	DefaultWritesPerSecond = 290
	// DefaultSealBytes is the size in bytes at which a head's entries become a segment, and the bound of one batch.
	DefaultSealBytes = 64 << 10
	// MaxInlineAnswerBytes is the largest answer in bytes that is stored in the log itself.
	MaxInlineAnswerBytes = 16 << 10
	// MaxStoredAnswerBytes is the largest answer in bytes that is stored; the store takes values up to 1 MB.
	MaxStoredAnswerBytes = 900 << 10
	// MaxForwardBytes is the largest body in bytes that is forwarded; a peer frame takes up to 1 MB.
	MaxForwardBytes = 512 << 10
)

type (
	// Config configures a Log.
	Config struct {
		VM teaselstream.VMID
		// Incarnation must be higher than that of every earlier run under the same name.
		Incarnation teaselstream.Incarnation
		// Rand spreads retries; nil uses a source seeded by the incarnation.
		Rand teaselstream.Rand
		// Invariants records violations; nil only logs them.
		Invariants *invar.Recorder
		// Faults injects faults for mutant runs.
		Faults invar.Faults
		// WritesPerSecond bounds the store writes per second of all VMs together; 0 means DefaultWrites.
		WritesPerSecond float64
		// SealBytes is the size of a head's entries at which they become a segment; 0 means DefaultSeal.
		SealBytes int
		// SummarySegments is the number of segments whose keys are joined, at most 65,536; 0 means DefaultSum.
		SummarySegments int
	}

	// Log is the core that decides about non-idempotent calls on one VM.
	Log struct {
		config  Config
		now     time.Time
		out     []teaselstream.Cmd
		id      uint64
		ops     map[uint64]func(result)
		shards  [Shards]*shard
		flights map[Key]*flight
		holders holders

		live      []teaselstream.VMID
		preferred [Shards]teaselstream.VMID
		own       int
		retention time.Duration
		tokens    float64
		loads     float64
		filled    time.Time

		forwards map[uint64]*flight
		seen     map[seenForward]time.Time
		swept    time.Time
		Counts   Counts
	}

	// Counts are running totals for measurements.
	Counts struct {
		Claims  int
		Writes  int
		Reads   int
		Records int
		// FinalRecords counts records that end a claim, and EndTime adds up how long they waited to be durable.
		FinalRecords    int
		FinalRecordWait time.Duration
		// Dropped counts messages that answer nothing that is waited for.
		Dropped int
	}

	// result is a StoreResult or LookedUp on its way to the operation that waits for it.
	result struct {
		record teaselstream.Record
		found  bool
		err    error
	}
)

var _ teaselstream.Core = (*Log)(nil)

// New returns a log with no index. It builds those of the shards that prefer this VM after the first View, and others
// when it needs them.
func New(c Config) *Log {
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(uint64(c.Incarnation), 0))
	}
	if c.WritesPerSecond == 0 {
		c.WritesPerSecond = DefaultWritesPerSecond
	}
	if c.SealBytes == 0 {
		c.SealBytes = DefaultSealBytes
	}
	if c.SummarySegments == 0 {
		c.SummarySegments = DefaultSummarySegments
	}
	l := &Log{
		config: c, retention: DefaultRetention, tokens: burst, loads: loadBurst,
		ops: make(map[uint64]func(result)), flights: make(map[Key]*flight),
		forwards: make(map[uint64]*flight), seen: make(map[seenForward]time.Time),
	}
	for n := range l.shards {
		l.shards[n] = newShard(Shard(n))
	}
	return l
}

// Update applies one message and returns the commands that follow.
func (l *Log) Update(now time.Time, m teaselstream.Msg) []teaselstream.Cmd {
	l.now, l.out = now, nil
	switch m := m.(type) {
	case Submit:
		l.submit(m, waiter{request: m.Request, deadline: m.Deadline, began: now})
	case View:
		l.view(m)
	case StoreResult:
		l.finish(m.ID, result{record: m.Record, err: m.Err})
	case LookedUp:
		l.finish(m.ID, result{found: m.Found, err: m.Err})
	case Answered:
		l.answered(m)
	case ForwardReceived:
		l.forwardReceived(m)
	case ForwardAnswered:
		l.forwardAnswered(m)
	case ForwardFailed:
		l.forwardFailed(m)
	case teaselstream.Tick:
		l.tick()
	}
	l.pump()
	return l.out
}

// Busy reports whether calls or changes of the log are unfinished on this VM.
func (l *Log) Busy() bool {
	for _, sh := range l.shards {
		if len(sh.queue) > 0 || len(sh.attempts) > 0 {
			return true
		}
	}
	return len(l.flights) > 0
}

// Ready reports whether the indexes of all shards that prefer this VM are complete.
func (l *Log) Ready() bool {
	for _, sh := range l.shards {
		if !sh.ready && l.preferred[sh.id] == l.config.VM {
			return false
		}
	}
	return true
}

// IndexedKeys returns the number of keys in this VM's indexes; a key counts once per sealed block that holds it.
func (l *Log) IndexedKeys() int {
	n := 0
	for _, sh := range l.shards {
		n += len(sh.index)
		for _, r := range sh.runs {
			n += len(r.keys)
		}
	}
	return n
}

func (l *Log) emit(c teaselstream.Cmd) { l.out = append(l.out, c) }

// await returns an id whose result is passed to then, once.
func (l *Log) await(then func(result)) uint64 {
	l.id++
	l.ops[l.id] = then
	return l.id
}

func (l *Log) finish(id uint64, r result) {
	then, ok := l.ops[id]
	if !ok {
		l.Counts.Dropped++
		return
	}
	delete(l.ops, id)
	then(r)
}

func (l *Log) read(key string, then func(result)) {
	l.Counts.Reads++
	l.emit(Read{ID: l.await(then), Key: key})
}

func (l *Log) write(key string, expected teaselstream.Revision, value []byte, then func(result)) {
	l.Counts.Writes++
	l.tokens--
	l.emit(Write{ID: l.await(then), Key: key, Expected: expected, Value: value})
}

func (l *Log) view(v View) {
	l.live = v.Live
	if v.Retention > 0 {
		l.retention = v.Retention
	}
	l.own = 0
	for n := range l.preferred {
		l.preferred[n] = PreferredVM(Shard(n), v.Live)
		if l.preferred[n] == l.config.VM {
			l.own++
		}
	}
}

func (l *Log) alive(v teaselstream.VMID) bool {
	for _, w := range l.live {
		if w == v {
			return true
		}
	}
	return false
}

func (l *Log) tick() {
	for _, sh := range l.shards {
		for _, f := range append([]*flight(nil), sh.flights...) {
			l.expire(f)
			l.advance(f)
		}
	}
	if l.now.Sub(l.swept) < sweepEvery {
		return
	}
	l.swept = l.now
	for n, sh := range l.shards {
		if l.preferred[n] != l.config.VM && sh.idle() && l.now.Sub(sh.confirmed) > keepIndex {
			l.shards[n] = newShard(sh.id)
		}
	}
	for s, until := range l.seen {
		if l.now.After(until) {
			delete(l.seen, s)
		}
	}
}
