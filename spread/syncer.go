package spread

import (
	"log/slog"
	"slices"
	"strconv"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/invar"
	"github.com/teaselstream/teaselstream/wire"
)

type (
	// Format parses, compares and encodes documents.
	Format interface {
		DigestOf(canonical []byte) teaselstream.Digest
		Parse(canonical []byte) (*teaselstream.Document, error)
		// MakeDelta returns the encoded changes from one document to another; Apply applies them.
		MakeDelta(from, to []byte) ([]byte, error)
		Apply(from, delta []byte) ([]byte, error)
		// Encode returns the document in parts below the frame limit; Decode reverses it.
		Encode(canonical []byte) ([][]byte, error)
		Decode(parts [][]byte) ([]byte, error)
	}

	// Config describes the VM on which a Syncer runs.
	Config struct {
		VM          teaselstream.VMID
		Domain      teaselstream.DomainID
		Environment teaselstream.Environment
		Format      Format
		Rand        teaselstream.Rand
		Recorder    *invar.Recorder
		Faults      invar.Faults
	}

	// Syncer is the state machine that keeps the documents of one VM up to date and sends them to peers.
	Syncer struct {
		c         Config
		livePeers []Peer
		watchers  []teaselstream.VMID
		watching  bool
		prod      slot
		trial     slot
	}
)

const (
	// watchersPerDomain lets one watcher fail while another still reads the store.
	watchersPerDomain = 2
	// fetchTimeout exceeds a slow answer of the store and leaves time for a second source within 5 s.
	fetchTimeout = 2 * time.Second
	// readStagger separates the watchers' reads of a document from the store: the first watcher reads at
	// once, and the others pull from it and read only if that failed.
	readStagger = 100 * time.Millisecond
	// maxDeltas covers more changes than occur at 0.47/s within the 16 s in which all VMs must follow.
	maxDeltas = 32
	// maxDeltaBytes is the total size of deltas above which the whole document is sent instead.
	maxDeltaBytes = 64 << 10
	// heartbeatDigestLength is the number of characters of a digest that heartbeats carry. The whole digest is checked on transfer.
	heartbeatDigestLength = 16
	// maxParts admits a document of 64 MB, far above the largest planned one of 2 MB.
	maxParts = 80

	retryBase  = 250 * time.Millisecond
	retryLimit = 16 * time.Second
	// absentSlotDelay separates the reads of a slot that was never written.
	absentSlotDelay = time.Second
)

// New returns a Syncer without documents.
func New(c Config) *Syncer {
	sy := &Syncer{c: c}
	sy.trial.trial = true
	return sy
}

// Update applies one message.
func (sy *Syncer) Update(now time.Time, m teaselstream.Msg) []teaselstream.Cmd {
	switch x := m.(type) {
	case PeersChanged:
		return sy.peersChanged(now, x.Live)
	case SlotRead:
		return sy.slotRead(now, x)
	case BodyRead:
		return sy.bodyRead(now, x)
	case PeerGeneration:
		return sy.peerGeneration(now, x)
	case DeltaReceived:
		return sy.deltaReceived(now, x)
	case BodyReceived:
		return sy.bodyReceived(now, x)
	case PullReceived:
		return sy.answerPull(x.From, x.Pull)
	case BodyPullReceived:
		return sy.sendBody(x.From, sy.slot(x.Pull.Trial))
	case teaselstream.Tick:
		return append(sy.tick(now, &sy.prod), sy.tick(now, &sy.trial)...)
	}
	return nil
}

// Generations returns the generations and digests of the documents in force, as heartbeats state them.
func (sy *Syncer) Generations() []wire.SlotGeneration {
	var out []wire.SlotGeneration
	for _, s := range []*slot{&sy.prod, &sy.trial} {
		if s.current.generation > 0 {
			out = append(out, wire.SlotGeneration{
				Environment: sy.c.Environment, Trial: s.trial, Generation: s.current.generation, Digest: s.current.digest[:min(heartbeatDigestLength, len(s.current.digest))],
			})
		}
	}
	return out
}

// AheadOf reports whether this VM has a newer document than a peer's heartbeat states.
func (sy *Syncer) AheadOf(theirs []wire.SlotGeneration) bool {
	for _, s := range []*slot{&sy.prod, &sy.trial} {
		if s.current.generation == 0 {
			continue
		}
		var g teaselstream.Generation
		for _, t := range theirs {
			if t.Environment == sy.c.Environment && t.Trial == s.trial {
				g = t.Generation
			}
		}
		if s.current.generation > g {
			return true
		}
	}
	return false
}

// Watching reports whether this VM watches the store.
func (sy *Syncer) Watching() bool { return sy.watching }

func (sy *Syncer) slot(trial bool) *slot {
	if trial {
		return &sy.trial
	}
	return &sy.prod
}

func (sy *Syncer) peersChanged(now time.Time, livePeers []Peer) []teaselstream.Cmd {
	sy.livePeers = livePeers
	byDomain := map[teaselstream.DomainID][]teaselstream.VMID{}
	for _, p := range livePeers {
		byDomain[p.Domain] = append(byDomain[p.Domain], p.VM)
	}
	sy.watchers = sy.watchers[:0]
	for d, vms := range byDomain {
		r := teaselstream.RendezvousOrder(string(sy.c.Environment)+"/"+string(d), vms)
		sy.watchers = append(sy.watchers, r[:min(watchersPerDomain, len(r))]...)
	}
	slices.Sort(sy.watchers)
	was := sy.watching
	sy.watching = slices.Contains(sy.watchers, sy.c.VM)
	switch {
	case sy.watching && !was:
		return append(sy.startWatch(now, &sy.prod), sy.startWatch(now, &sy.trial)...)
	case was && !sy.watching:
		sy.prod.watch, sy.trial.watch = watch{after: sy.prod.watch.after}, watch{after: sy.trial.watch.after}
		return []teaselstream.Cmd{StopWatch{}, StopWatch{Trial: true}}
	}
	return nil
}

func (sy *Syncer) startWatch(now time.Time, s *slot) []teaselstream.Cmd {
	s.watch = watch{after: s.watch.after, inFlight: true, startedAt: now}
	return []teaselstream.Cmd{WatchSlot{Trial: s.trial, After: s.watch.after}}
}

func (sy *Syncer) slotRead(now time.Time, x SlotRead) []teaselstream.Cmd {
	s := sy.slot(x.Trial)
	w := &s.watch
	w.inFlight = false
	switch {
	case x.Err == nil:
		w.retryAt, w.failures = now, 0
		// An early answer without a new revision delays the next watch, so that a faulty store causes no busy loop.
		if x.Revision <= w.after && now.Sub(w.startedAt) < absentSlotDelay {
			w.retryAt = now.Add(absentSlotDelay)
		}
		w.after = max(w.after, x.Revision)
	case isNotFound(x.Err):
		w.retryAt, w.failures = now.Add(teaselstream.Backoff(sy.c.Rand, absentSlotDelay, absentSlotDelay, 1)), 0
	default:
		w.failures++
		w.retryAt = now.Add(teaselstream.Backoff(sy.c.Rand, retryBase, retryLimit, w.failures))
	}
	var out []teaselstream.Cmd
	if x.Err == nil && x.Generation > 0 {
		sy.noteGeneration(now, s, x.Generation, x.Digest, "")
	}
	return append(out, sy.tick(now, s)...)
}

// tick starts the fetch and the watch of one slot that are due.
func (sy *Syncer) tick(now time.Time, s *slot) []teaselstream.Cmd {
	out := sy.fetch(now, s)
	if sy.watching && !s.watch.inFlight && !now.Before(s.watch.retryAt) {
		s.watch.inFlight, s.watch.startedAt = true, now
		out = append(out, WatchSlot{Trial: s.trial, After: s.watch.after})
	}
	return out
}

func (sy *Syncer) peerGeneration(now time.Time, x PeerGeneration) []teaselstream.Cmd {
	if x.Stated.Environment != sy.c.Environment || x.Stated.Generation == 0 {
		return nil
	}
	s := sy.slot(x.Stated.Trial)
	sy.noteGeneration(now, s, x.Stated.Generation, x.Stated.Digest, x.From)
	return sy.fetch(now, s)
}

// newer reports whether generation a replaces generation b.
func (sy *Syncer) newer(a, b teaselstream.Generation) bool {
	if sy.c.Faults.Has(invar.InvertGeneration) {
		return b == 0 || a < b
	}
	return a > b
}

// adopt puts a document in force if it is newer and can be parsed; via is the delta that led to it, if any.
func (sy *Syncer) adopt(now time.Time, s *slot, d document, via *wire.Delta) []teaselstream.Cmd {
	if !sy.newer(d.generation, s.current.generation) {
		return nil
	}
	parsed, err := sy.c.Format.Parse(d.canonical)
	if err != nil {
		// The writer has checked the document, so this program is too old for it. The document in force stays.
		slog.Error("document in the store cannot be parsed", "generation", d.generation, "error", err)
		s.rejectedDigest = d.digest
		return nil
	}
	sy.c.Recorder.Check(d.generation > s.current.generation, invar.GenerationMonotonic,
		"VM %s replaced generation %d by %d (trial %s)", sy.c.VM, s.current.generation, d.generation, strconv.FormatBool(s.trial))
	s.recordDelta(sy.c, d, via)
	s.current, s.staged, s.fetching = d, document{}, fetch{}
	parsed.Environment, parsed.Generation, parsed.Digest = sy.c.Environment, d.generation, d.digest
	return append([]teaselstream.Cmd{Adopt{Trial: s.trial, Document: parsed}}, sy.fetch(now, s)...)
}
