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
		// MakeDelta returns the encoded changes from one document to another.
		MakeDelta(from, to []byte) ([]byte, error)
		Apply(from, delta []byte) ([]byte, error)
		// Encode returns the document in parts below the frame limit; Decode reverses it.
		Encode(canonical []byte) ([][]byte, error)
		Decode(parts [][]byte) ([]byte, error)
	}

	// Config describes the VM that a Holder serves.
	Config struct {
		VM          teaselstream.VMID
		Domain      teaselstream.DomainID
		Environment teaselstream.Environment
		Format      Format
		Rand        teaselstream.Rand
		Recorder    *invar.Recorder
		Faults      invar.Faults
	}

	// Holder is the state machine of the documents on one VM.
	Holder struct {
		c        Config
		live     []Peer
		watchers []teaselstream.VMID
		watching bool
		prod     slot
		trial    slot
	}
)

const (
	// watchersPerDomain is two, so that one may fail without a gap.
	watchersPerDomain = 2
	// fetchTimeout exceeds a slow store answer and leaves time for a second source within 5 s.
	fetchTimeout = 2 * time.Second
	// readStep separates the watchers' reads of one body: the first reads at
	// once, the others pull from it and read only if that failed.
	readStep = 100 * time.Millisecond
	// stepsKept deltas cover more than the 16 s at 0.47 changes/s within which all VMs must follow.
	stepsKept = 32
	// deltaLimit is the size above which a body is sent in place of deltas.
	deltaLimit = 64 << 10
	// shortDigest is the part of a digest in heartbeats; the whole one is checked on transfer.
	shortDigest = 16
	// partLimit admits a document of 64 MB, far above the largest planned one of 2 MB.
	partLimit = 80

	watchBase  = 250 * time.Millisecond
	watchLimit = 16 * time.Second
	// absentDelay separates the reads of a slot that was never written.
	absentDelay = time.Second
)

// New returns a holder without a document.
func New(c Config) *Holder {
	h := &Holder{c: c}
	h.trial.trial = true
	return h
}

// Update applies one message.
func (h *Holder) Update(now time.Time, m teaselstream.Msg) []teaselstream.Cmd {
	switch x := m.(type) {
	case PeersChanged:
		return h.peersChanged(now, x.Live)
	case SlotRead:
		return h.slotRead(now, x)
	case BodyRead:
		return h.bodyRead(now, x)
	case PeerDigest:
		return h.peerDigest(now, x)
	case DeltaReceived:
		return h.delta(now, x)
	case BodyReceived:
		return h.bodyPart(now, x)
	case PullReceived:
		return h.answerPull(x.From, x.Pull)
	case BodyPullReceived:
		return h.answerBody(x.From, h.slot(x.Pull.Trial))
	case teaselstream.Tick:
		return append(h.tick(now, &h.prod), h.tick(now, &h.trial)...)
	}
	return nil
}

// Generations returns the documents in force, as heartbeats state them.
func (h *Holder) Generations() []wire.SlotGeneration {
	var out []wire.SlotGeneration
	for _, s := range []*slot{&h.prod, &h.trial} {
		if s.have.generation > 0 {
			out = append(out, wire.SlotGeneration{
				Environment: h.c.Environment, Trial: s.trial, Generation: s.have.generation, Digest: s.have.digest[:min(shortDigest, len(s.have.digest))],
			})
		}
	}
	return out
}

// Ahead reports whether this VM has a newer document than a peer's heartbeat states.
func (h *Holder) Ahead(theirs []wire.SlotGeneration) bool {
	for _, s := range []*slot{&h.prod, &h.trial} {
		if s.have.generation == 0 {
			continue
		}
		var g teaselstream.Generation
		for _, t := range theirs {
			if t.Environment == h.c.Environment && t.Trial == s.trial {
				g = t.Generation
			}
		}
		if s.have.generation > g {
			return true
		}
	}
	return false
}

// Watching reports whether this VM watches the store.
func (h *Holder) Watching() bool { return h.watching }

func (h *Holder) slot(trial bool) *slot {
	if trial {
		return &h.trial
	}
	return &h.prod
}

func (h *Holder) peersChanged(now time.Time, live []Peer) []teaselstream.Cmd {
	h.live = live
	byDomain := map[teaselstream.DomainID][]teaselstream.VMID{}
	for _, p := range live {
		byDomain[p.Domain] = append(byDomain[p.Domain], p.VM)
	}
	h.watchers = h.watchers[:0]
	for d, vms := range byDomain {
		r := teaselstream.Rendezvous(string(h.c.Environment)+"/"+string(d), vms)
		h.watchers = append(h.watchers, r[:min(watchersPerDomain, len(r))]...)
	}
	slices.Sort(h.watchers)
	was := h.watching
	h.watching = slices.Contains(h.watchers, h.c.VM)
	switch {
	case h.watching && !was:
		return append(h.startWatch(now, &h.prod), h.startWatch(now, &h.trial)...)
	case was && !h.watching:
		h.prod.watch, h.trial.watch = watch{after: h.prod.watch.after}, watch{after: h.trial.watch.after}
		return []teaselstream.Cmd{StopWatch{}, StopWatch{Trial: true}}
	}
	return nil
}

func (h *Holder) startWatch(now time.Time, s *slot) []teaselstream.Cmd {
	s.watch = watch{after: s.watch.after, inFlight: true, at: now}
	return []teaselstream.Cmd{WatchSlot{Trial: s.trial, After: s.watch.after}}
}

func (h *Holder) slotRead(now time.Time, x SlotRead) []teaselstream.Cmd {
	s := h.slot(x.Trial)
	w := &s.watch
	w.inFlight = false
	switch {
	case x.Err == nil:
		w.retryAt, w.failures = now, 0
		// An early answer without a new revision waits, so that a faulty store causes no busy loop.
		if x.Revision <= w.after && now.Sub(w.at) < absentDelay {
			w.retryAt = now.Add(absentDelay)
		}
		w.after = max(w.after, x.Revision)
	case isAbsent(x.Err):
		w.retryAt, w.failures = now.Add(teaselstream.Backoff(h.c.Rand, absentDelay, absentDelay, 1)), 0
	default:
		w.failures++
		w.retryAt = now.Add(teaselstream.Backoff(h.c.Rand, watchBase, watchLimit, w.failures))
	}
	var out []teaselstream.Cmd
	if x.Err == nil && x.Generation > 0 {
		h.learn(now, s, x.Generation, x.Digest, "")
	}
	return append(out, h.tick(now, s)...)
}

// tick continues the watch and the fetch of one slot.
func (h *Holder) tick(now time.Time, s *slot) []teaselstream.Cmd {
	out := h.fetch(now, s)
	if h.watching && !s.watch.inFlight && !now.Before(s.watch.retryAt) {
		s.watch.inFlight, s.watch.at = true, now
		out = append(out, WatchSlot{Trial: s.trial, After: s.watch.after})
	}
	return out
}

func (h *Holder) peerDigest(now time.Time, x PeerDigest) []teaselstream.Cmd {
	if x.Of.Environment != h.c.Environment || x.Of.Generation == 0 {
		return nil
	}
	s := h.slot(x.Of.Trial)
	h.learn(now, s, x.Of.Generation, x.Of.Digest, x.From)
	return h.fetch(now, s)
}

// newer reports whether generation a replaces generation b.
func (h *Holder) newer(a, b teaselstream.Generation) bool {
	if h.c.Faults.Has(invar.InvertGeneration) {
		return b == 0 || a < b
	}
	return a > b
}

// adopt puts a document in force if it is newer and parses; via is the delta that led to it, if any.
func (h *Holder) adopt(now time.Time, s *slot, d document, via *wire.Delta) []teaselstream.Cmd {
	if !h.newer(d.generation, s.have.generation) {
		return nil
	}
	parsed, err := h.c.Format.Parse(d.canonical)
	if err != nil {
		// The writer checked the document, so this program is older than it; the document in force stays.
		slog.Error("document in the store cannot be parsed", "generation", d.generation, "error", err)
		s.rejected = d.digest
		return nil
	}
	h.c.Recorder.Check(d.generation > s.have.generation, invar.GenerationMonotonic,
		"VM %s replaced generation %d by %d (trial %s)", h.c.VM, s.have.generation, d.generation, strconv.FormatBool(s.trial))
	s.keepStep(h.c, d, via)
	s.have, s.staged, s.fetching = d, document{}, fetch{}
	parsed.Environment, parsed.Generation, parsed.Digest = h.c.Environment, d.generation, d.digest
	return append([]teaselstream.Cmd{Adopt{Trial: s.trial, Document: parsed}}, h.fetch(now, s)...)
}
