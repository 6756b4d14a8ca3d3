package place

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/teaselstream/teaselstream"
)

type (
	// Record is the desired placement of one model. It is changed by compare-and-swap only.
	Record struct {
		// Operation identifies the last write, so that a writer whose answer was lost can tell whether its write took effect.
		Operation string
		Deciders  []Decider
		Entries   []Entry
	}

	// Decider is the current decider of one failure domain.
	Decider struct {
		Domain  teaselstream.DomainID
		VM      teaselstream.VMID
		Fencing teaselstream.Fencing
	}

	// Entry is the desired state of a server that differs from the document.
	Entry struct {
		Server  teaselstream.ServerID
		Fencing teaselstream.Fencing
		From    teaselstream.Layer
		To      teaselstream.Layer
		Version string
		// BaseFrom and BaseTo are the document's range at the time of the move. The entry is void once the document gives another range.
		BaseFrom teaselstream.Layer
		BaseTo   teaselstream.Layer
		// Pending means that the engine has not confirmed the order.
		Pending bool
		Moved   time.Time
		// Uncertain is the time until which an order of an earlier, paused decider may still reach
		// an engine that ignores fencing numbers. Until then the server does not count as a copy.
		Uncertain time.Time
	}

	// leaseHolder is the value of a decider's lease key.
	leaseHolder struct {
		VM    teaselstream.VMID
		Lease teaselstream.LeaseID
	}
)

var encoder, decoder = cborModes()

func cborModes() (cbor.EncMode, cbor.DecMode) {
	o := cbor.CoreDetEncOptions()
	o.Time = cbor.TimeRFC3339Nano
	e, err := o.EncMode()
	if err != nil {
		panic(err)
	}
	d, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err)
	}
	return e, d
}

func encode(v any) []byte {
	b, err := encoder.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode placement value: %v", err))
	}
	return b
}

func decodeRecord(b []byte) (Record, error) {
	var r Record
	if len(b) == 0 {
		return r, nil
	}
	if err := decoder.Unmarshal(b, &r); err != nil {
		return r, fmt.Errorf("decode placement record: %w", err)
	}
	return r, nil
}

// decider returns the entry of a failure domain's decider and adds one if there is none.
func (r *Record) decider(d teaselstream.DomainID) *Decider {
	for i := range r.Deciders {
		if r.Deciders[i].Domain == d {
			return &r.Deciders[i]
		}
	}
	r.Deciders = append(r.Deciders, Decider{Domain: d})
	return &r.Deciders[len(r.Deciders)-1]
}

func (r *Record) entry(id teaselstream.ServerID) *Entry {
	for i := range r.Entries {
		if r.Entries[i].Server == id {
			return &r.Entries[i]
		}
	}
	return nil
}

// put adds or replaces the entry of a server.
func (r *Record) put(e Entry) {
	if old := r.entry(e.Server); old != nil {
		*old = e
		return
	}
	r.Entries = append(r.Entries, e)
}

func (e Entry) layers() teaselstream.LayerRange {
	return teaselstream.LayerRange{From: e.From, To: e.To}
}
