package crash

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	// batchFirst is the time that a server takes to read a long prompt, and batchDelay the time from such prompts to the harmful request.
	batchFirst, batchDelay = 1200 * time.Millisecond, 100 * time.Millisecond
	// batchSize is the number of long prompts that a caller sends at a time to one server, with a pause of batchPeriod between two batches.
	batchSize   = 8
	batchPeriod = 5 * time.Second
	// batchesBefore and batchesAfter are the numbers of batches before the first crash and from it on.
	batchesBefore, batchesAfter = 4, 8
)

// batchRun is a caller with pauses whose long prompts wait on a server while it ends.
type batchRun struct {
	*fleetRun
	// shared is the trait that all prompts of the caller share, and others are further traits of the sound or the harmful ones.
	shared          Trait
	sound, harmful  []Trait
	kills           bool
	manyVMs         bool
	answeredBatches [batchesBefore + batchesAfter]int
}

// play sends one batch to one server. A harmful request, or a kill for another reason, follows if trouble is set.
func (b *batchRun) play(n int, trouble bool) {
	up := slices.DeleteFunc(slices.Clone(b.servers), func(s *fleetServer) bool { return s.down })
	s := up[b.rand.IntN(len(up))]
	vm := 0
	for range batchSize {
		if b.manyVMs {
			vm = b.rand.IntN(len(b.vms))
		}
		traits := append([]Trait{Trait(fmt.Sprintf("%s%d", contentPrefix, b.number())), b.shared}, b.sound...)
		b.sendTo(vm, s, false, traits, batchFirst)
	}
	incarnation := s.incarnation
	b.After(batchFirst+time.Millisecond, func() {
		for _, r := range s.running {
			if r.begun && s.incarnation == incarnation && slices.Contains(r.traits, b.shared) {
				b.answeredBatches[n]++
			}
		}
	})
	if !trouble {
		return
	}
	b.After(batchDelay, func() {
		switch {
		case b.kills && len(b.crashes) < minLosses:
			b.crashes = append(b.crashes, b.Now())
			b.crash(s)
		case !b.kills:
			traits := append([]Trait{Trait(fmt.Sprintf("%s%d", contentPrefix, b.number())), b.shared}, b.harmfulTraits(b.harmful)...)
			b.sendTo(vm, s, true, traits, firstToken)
		}
	})
}

// harmfulTraits returns the further traits of a harmful request.
func (f *fleetRun) harmfulTraits(others []Trait) []Trait {
	return append(slices.Clone(others), SegmentTrait("model", "harmful"))
}

// Guards against sound requests that are refused for good because they waited on servers which crashed for another reason (LOST,
// review/8): a caller pauses for 5 s between batches of long prompts with the same first segment, and three servers crash under such
// batches, because of a request with a harmful segment or for no reason of any request. The segment has to be found as early as before.
func TestBystanders(t *testing.T) {
	other, second := SegmentTrait("model", "other"), SegmentTrait("model", "second")
	for name, x := range map[string]struct {
		sound, harmful                   []Trait
		vms, servers                     int
		kills, manyVMs, headUnseen, busy bool
	}{
		"behind-the-shared":        {vms: 2, servers: 8},
		"behind-others":            {vms: 2, servers: 8, sound: []Trait{second}, harmful: []Trait{second, other}},
		"before-others":            {vms: 2, servers: 8, sound: []Trait{second, other}, harmful: []Trait{other}},
		"two-servers":              {vms: 2, servers: 2},
		"one-vm":                   {vms: 1, servers: 8},
		"many-vms":                 {vms: 8, servers: 8, manyVMs: true},
		"many-vms-and-servers":     {vms: 40, servers: 100, manyVMs: true, busy: true},
		"head-unseen":              {vms: 2, servers: 8, headUnseen: true},
		"head-unseen-at-many-vms":  {vms: 8, servers: 8, manyVMs: true, headUnseen: true},
		"kills":                    {vms: 2, servers: 8, kills: true},
		"kills-with-second-shared": {vms: 2, servers: 8, kills: true, sound: []Trait{second}},
		"kills-at-many-vms":        {vms: 8, servers: 8, kills: true, manyVMs: true},
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				o := fleetOptions{vms: x.vms, servers: x.servers, soundPerSecond: 20, headUnseen: x.headUnseen}
				if x.busy {
					o.soundPerSecond = 400
				}
				b := &batchRun{fleetRun: newFleetRun(t, seed, o), shared: SegmentTrait("model", "shared"), sound: x.sound, harmful: x.harmful, kills: x.kills, manyVMs: x.manyVMs}
				b.check()
			})
		}
	}
}

func (b *batchRun) check() {
	for n := range batchesBefore + batchesAfter {
		b.After(time.Duration(n+1)*batchPeriod, func() { b.play(n, n >= batchesBefore) })
	}
	b.RunUntil(b.start.Add((batchesBefore + batchesAfter + 2) * batchPeriod))
	if len(b.crashes) > 2*minLosses {
		b.t.Errorf("%d servers crashed, want at most %d", len(b.crashes), 2*minLosses)
	}
	// From the fifth crash on, or the last one, 2 x contactTime later, at least half of the usual number must begin.
	from := b.crashes[min(len(b.crashes), 5)-1].Add(2 * contactTime)
	before, after, batches := 0, 0, 0
	for n, begun := range b.answeredBatches {
		at := b.start.Add(time.Duration(n+1) * batchPeriod)
		switch {
		case n < batchesBefore:
			before += begun
		case !at.Before(from):
			after += begun
			batches++
		}
	}
	if batches == 0 || 2*after*batchesBefore < before*batches {
		b.t.Errorf("%d sound requests of %d batches began before the crashes, and %d of %d batches after them", before, batchesBefore, after, batches)
	}
	record := b.record.Signatures
	if slices.ContainsFunc(record, func(s RecordedSignature) bool { return s.matches(append([]Trait{b.shared}, b.sound...)) }) {
		b.t.Errorf("the store keeps %v", record)
	}
	b.t.Logf("%d crashes, record %v", len(b.crashes), record)
}

// Guards against evidence that other requests crowd out: a server ends with more requests than a report holds, and only the one that had
// begun shows the cause.
func TestReportKeepsBegun(t *testing.T) {
	var tr Tracker
	now := time.Unix(1000, 0)
	tr.Update(now, Peers{Self: "vm1", VMs: []teaselstream.VMID{"vm1"}})
	tr.Update(now, Lost{Request: "harmful", Server: "a", Traits: []Trait{"bad"}, Begun: true})
	for i := range 2 * maxReported {
		tr.Update(now, Lost{Request: teaselstream.AttemptID(fmt.Sprint(i)), Server: "a", Traits: []Trait{"first/x"}})
	}
	for _, c := range tr.Update(now.Add(time.Second), teaselstream.Tick{}) {
		if p, ok := c.(PublishReport); ok {
			if len(p.Report.Suspicions) > maxReported {
				t.Errorf("the report holds %d suspicions, want at most %d", len(p.Report.Suspicions), maxReported)
			}
			if slices.ContainsFunc(p.Report.Suspicions, func(s Suspicion) bool { return s.Begun }) {
				return
			}
		}
	}
	t.Error("the report lacks the request whose answer had begun")
}

// Guards against a wrong signature that is refused everywhere, so that no answer can end it, and against trials of a right one that cost
// more servers than the platform allows (LOST, BUDGET).
func TestTrials(t *testing.T) {
	for _, harmful := range []bool{false, true} {
		t.Run(fmt.Sprintf("harmful=%t", harmful), func(t *testing.T) {
			t.Parallel()
			f := newFleetRun(t, 1, fleetOptions{vms: 8, servers: 8, soundPerSecond: 0.2})
			x := SegmentTrait("model", "refused")
			f.record, f.revision = Record{[]RecordedSignature{{Signature{[]Trait{x}}, f.start.Unix()}}}, 1
			for i := range f.vms {
				f.startVM(i)
			}
			type sent struct {
				at      time.Time
				refused bool
			}
			var all []sent
			f.arrivals(0.5, func() {
				refused := f.send(harmful, []Trait{Trait(fmt.Sprintf("%s%d", contentPrefix, f.number())), x})
				all = append(all, sent{f.Now(), refused})
			})
			f.RunUntil(f.start.Add(signatureTTL - time.Minute))
			from := f.start.Add(trialTimes[0] + trialWindow)
			refused, after := 0, 0
			for _, s := range all {
				if s.at.After(from) {
					after++
				}
				if s.at.After(from) && s.refused {
					refused++
				}
			}
			t.Logf("%d servers crashed; %d of %d requests were refused after the first trial", len(f.crashes), refused, after)
			if !harmful && refused > 0 {
				t.Errorf("%d of %d sound requests were refused after the first trial", refused, after)
			}
			if harmful && (len(f.crashes) > len(trialTimes) || refused < after-len(trialTimes)) {
				t.Errorf("%d servers crashed, want at most %d; %d of %d harmful requests were refused", len(f.crashes), len(trialTimes), refused, after)
			}
		})
	}
}
