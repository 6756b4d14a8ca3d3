package runs

import (
	"fmt"
	"strings"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/member"
	"github.com/teaselstream/teaselstream/node"
	"github.com/teaselstream/teaselstream/place"
	"github.com/teaselstream/teaselstream/spread"
	"github.com/teaselstream/teaselstream/wire"
)

// Transcript records what VMs do, one line per event with its virtual time.
type Transcript struct {
	fleet *Fleet
	lines []string
	last  map[teaselstream.VMID]*teaselstream.Snapshot
}

// Record makes the fleet write a transcript; it must be called before VMs start.
func (f *Fleet) Record() *Transcript {
	t := &Transcript{fleet: f, last: map[teaselstream.VMID]*teaselstream.Snapshot{}}
	f.c.Observe = t.observe
	return t
}

// Take returns the lines since the last call.
func (t *Transcript) Take() string {
	s := strings.Join(t.lines, "\n")
	t.lines = nil
	if s != "" {
		s += "\n"
	}
	return s
}

func (t *Transcript) add(vm teaselstream.VMID, format string, args ...any) {
	at := t.fleet.Elapsed().Round(time.Millisecond)
	t.lines = append(t.lines, fmt.Sprintf("%7.3fs %s %s", at.Seconds(), vm, fmt.Sprintf(format, args...)))
}

// observe leaves out what repeats by time alone: heartbeats, polls and list reads.
func (t *Transcript) observe(vm teaselstream.VMID, c teaselstream.Cmd) {
	switch x := c.(type) {
	case node.Publish:
		t.published(vm, x.Snapshot)
	case node.Send:
		t.sent(vm, x)
	case spread.WatchSlot:
		if !x.Trial {
			t.add(vm, "watches the slot after revision %d", x.After)
		}
	case spread.StopWatch:
		if !x.Trial {
			t.add(vm, "stops watching")
		}
	case spread.ReadBody:
		t.add(vm, "reads the document from the store")
	case place.SendOrder:
		t.add(vm, "orders %s to hold %d-%d with fencing number %d", x.Server, x.Order.From, x.Order.To, x.Order.Fencing)
	case member.ProbeServer:
		t.add(vm, "probes %s", x.Server)
	}
}

func (t *Transcript) sent(vm teaselstream.VMID, x node.Send) {
	switch m := x.Message.(type) {
	case wire.Heartbeat:
	case wire.Notices:
		for _, n := range m.Notices {
			t.add(vm, "-> %s %s %s", x.To, n.Kind, n.Subject)
		}
	case wire.Delta:
		t.add(vm, "-> %s Delta to %d", x.To, m.Generation)
	case wire.Body:
		t.add(vm, "-> %s Body %d part %d of %d", x.To, m.Generation, m.Part+1, m.Parts)
	default:
		t.add(vm, "-> %s %s", x.To, strings.TrimPrefix(fmt.Sprintf("%T", m), "wire."))
	}
}

func (t *Transcript) published(vm teaselstream.VMID, s *teaselstream.Snapshot) {
	old := t.last[vm]
	t.last[vm] = s
	if old == nil {
		t.add(vm, "serves generation %d, %d VMs", s.Document.Generation, s.LiveVMs)
		return
	}
	if old.Document.Generation != s.Document.Generation {
		t.add(vm, "serves generation %d", s.Document.Generation)
	}
	if old.LiveVMs != s.LiveVMs {
		t.add(vm, "sees %d VMs", s.LiveVMs)
	}
	if old.Stopping != s.Stopping {
		t.add(vm, "is stopping")
	}
	for _, id := range t.fleet.Servers() {
		if a, b := old.Servers[id], s.Servers[id]; a.State != b.State {
			t.add(vm, "%s is %s", id, b.State)
		}
	}
}

// Status describes each VM: the document in force, the live VMs, and servers that are not ordinary.
func (f *Fleet) Status() string {
	var b strings.Builder
	for _, v := range f.VMs() {
		switch {
		case v.Exited:
			fmt.Fprintf(&b, "%s exited\n", v.Name)
			continue
		case !v.Running():
			fmt.Fprintf(&b, "%s down\n", v.Name)
			continue
		case v.Snapshot == nil:
			fmt.Fprintf(&b, "%s without document\n", v.Name)
			continue
		}
		s := v.Snapshot
		fmt.Fprintf(&b, "%s generation %d, %d VMs", v.Name, s.Document.Generation, s.LiveVMs)
		if s.Trial != nil {
			fmt.Fprintf(&b, ", trial %d", s.Trial.Generation)
		}
		for _, id := range f.Servers() {
			if x, ok := s.Servers[id]; ok && x.State != teaselstream.Serving {
				fmt.Fprintf(&b, ", %s %s", id, x.State)
			}
		}
		b.WriteByte('\n')
	}
	for _, v := range f.Recorder.Found() {
		fmt.Fprintf(&b, "violation: %s\n", v.Error())
	}
	return b.String()
}
