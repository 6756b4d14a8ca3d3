package order

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/invar"
)

const (
	// SendWindow is how long after the start of its write a claim may still lead to a send.
	SendWindow = 2 * time.Second
	// FirstSubmissionWindow is the age up to which a key is assumed to be submitted for the first time while the log
	// cannot be read.
	FirstSubmissionWindow = 2 * time.Second
	// MaxClockSkew is the clock difference between VMs up to which the order of submissions on them is determined
	// correctly.
	MaxClockSkew = 250 * time.Millisecond
	// DefaultRetention is how long keys are kept if the document does not say.
	DefaultRetention = 24 * time.Hour
	// DefaultWritesPerSecond is the share of the store's 500 writes/s that the claim logs of all VMs may use. The token
	// bucket's burst comes on top, so it is below the limit of 300 writes/s.
	DefaultWritesPerSecond = 290
	// DefaultSealBytes is the size in bytes at which a head's entries are moved to a segment. It also bounds one batch.
	DefaultSealBytes = 64 << 10
	// MaxInlineAnswerBytes is the size of the largest answer that is stored in the log itself.
	MaxInlineAnswerBytes = 16 << 10
	// MaxStoredAnswerBytes is the size of the largest answer that is stored; the store takes values up to 1 MB.
	MaxStoredAnswerBytes = 900 << 10
	// MaxForwardBytes is the size of the largest body that is forwarded; a frame between VMs takes up to 1 MB.
	MaxForwardBytes = 512 << 10
)

type (
	// Config configures a Log.
	Config struct {
		VM teaselstream.VMID
		// Incarnation must be higher than that of every earlier process with the same VM name.
		Incarnation teaselstream.Incarnation
		// Rand adds jitter to retries; nil uses a source seeded by the incarnation.
		Rand teaselstream.Rand
		// Invariants records violations of invariants; nil only logs them.
		Invariants *invar.Recorder
		// Faults enables injected faults, which tests use to verify that invariant checks detect them.
		Faults invar.Faults
		// WritesPerSecond bounds the store writes of all VMs together; 0 means DefaultWritesPerSecond.
		WritesPerSecond float64
		// SealBytes is the size of a head's entries in bytes at which they are moved to a segment; 0 means
		// DefaultSealBytes.
		SealBytes int
		// SummarySegments is the number of segments in one Summary, at most 65,536; 0 means DefaultSummarySegments.
		SummarySegments int
	}

	// Log is the core that decides when a VM may send a non-idempotent call.
	Log struct {
		config  Config
		now     time.Time
		cmds    []teaselstream.Cmd
		id      uint64
		ops     map[uint64]func(result)
		shards  [Shards]*shard
		flights map[Key]*flight
		holders holders

		live []teaselstream.VMID
		// leaving means that this VM is shutting down.
		leaving   bool
		preferred [Shards]teaselstream.VMID
		// writeShards is the number of shards for which this VM may write to the store.
		writeShards int
		retention   time.Duration
		writeTokens float64
		readTokens  float64
		refilledAt  time.Time

		forwards map[uint64]*flight
		seen     map[seenForward]time.Time
		sweptAt  time.Time
		Counts   Counts
	}

	// Counts are running totals for measurements.
	Counts struct {
		Claims  int
		Writes  int
		Reads   int
		Records int
		// FinalRecords counts records that end a claim, and FinalRecordWait is the total time that they waited to
		// become durable.
		FinalRecords    int
		FinalRecordWait time.Duration
		// Dropped counts messages that match no open operation, and forwarded calls that are duplicates or late.
		Dropped int
	}

	// result holds a StoreResult or LookedUp for the operation that waits for it.
	result struct {
		record teaselstream.Record
		found  bool
		err    error
	}
)

var _ teaselstream.Core = (*Log)(nil)

// New returns a Log with empty indexes. After the first View it builds the indexes of the shards for which this VM is
// preferred; others are built on demand.
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
		config: c, retention: DefaultRetention, writeTokens: writeBurst, readTokens: indexReadBurst,
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
	l.now, l.cmds = now, nil
	switch m := m.(type) {
	case Submit:
		l.submit(m, waiter{request: m.Request, deadline: m.Deadline, submitted: now})
	case View:
		l.view(m)
	case StoreResult:
		l.completeOperation(m.ID, result{record: m.Record, err: m.Err})
	case LookedUp:
		l.completeOperation(m.ID, result{found: m.Found, err: m.Err})
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
	l.startOperations()
	return l.cmds
}

// Busy reports whether this VM has unfinished calls or unwritten records.
func (l *Log) Busy() bool {
	for _, sh := range l.shards {
		if len(sh.queue) > 0 || len(sh.openWrites) > 0 {
			return true
		}
	}
	return len(l.flights) > 0
}

// Ready reports whether the indexes of all shards for which this VM is preferred are complete.
func (l *Log) Ready() bool {
	for _, sh := range l.shards {
		if !sh.ready && l.preferred[sh.id] == l.config.VM {
			return false
		}
	}
	return true
}

// IndexedKeys returns the number of keys in this VM's indexes; a key counts once for each segment or Summary that lists
// it.
func (l *Log) IndexedKeys() int {
	n := 0
	for _, sh := range l.shards {
		n += len(sh.index)
		for _, r := range sh.sealedKeys {
			n += len(r.keys)
		}
	}
	return n
}

func (l *Log) emit(c teaselstream.Cmd) { l.cmds = append(l.cmds, c) }

// newOperation returns an id for an operation, whose result is passed to then once.
func (l *Log) newOperation(then func(result)) uint64 {
	l.id++
	l.ops[l.id] = then
	return l.id
}

func (l *Log) completeOperation(id uint64, r result) {
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
	l.emit(Read{ID: l.newOperation(then), Key: key})
}

func (l *Log) write(key string, expected teaselstream.Revision, value []byte, then func(result)) {
	l.Counts.Writes++
	l.writeTokens--
	l.emit(Write{ID: l.newOperation(then), Key: key, Expected: expected, Value: value})
}

func (l *Log) view(v View) {
	l.live = v.Live
	l.leaving = slices.Contains(v.Leaving, l.config.VM)
	// A leaving VM must run out of calls, so others are preferred while there are any.
	staying := slices.DeleteFunc(slices.Clone(v.Live), func(vm teaselstream.VMID) bool { return slices.Contains(v.Leaving, vm) })
	if len(staying) == 0 {
		staying = v.Live
	}
	if v.Retention > 0 {
		l.retention = v.Retention
	}
	l.writeShards = 0
	for n := range l.preferred {
		l.preferred[n] = PreferredVM(Shard(n), staying)
		// A leaving VM keeps its share of the writes, since it has to record the calls that it accepted.
		if PreferredVM(Shard(n), v.Live) == l.config.VM {
			l.writeShards++
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
	if l.now.Sub(l.sweptAt) < sweepInterval {
		return
	}
	l.sweptAt = l.now
	for n, sh := range l.shards {
		if l.preferred[n] != l.config.VM && sh.idle() && l.now.Sub(sh.confirmedAt) > indexRetention {
			l.shards[n] = newShard(sh.id)
		}
	}
	for s, until := range l.seen {
		if l.now.After(until) {
			delete(l.seen, s)
		}
	}
}
