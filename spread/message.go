package spread

import (
	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/wire"
)

type (
	// Peer is a live VM with its failure domain.
	Peer struct {
		VM     teaselstream.VMID
		Domain teaselstream.DomainID
	}

	// PeersChanged gives the live VMs, this one included.
	PeersChanged struct{ Live []Peer }

	// SlotRead answers WatchSlot.
	SlotRead struct {
		Trial      bool
		Generation teaselstream.Generation
		Digest     teaselstream.Digest
		Revision   teaselstream.Revision
		// Err is ErrNotFound while the slot is absent, or another error of the store.
		Err error
	}

	// BodyRead answers ReadBody.
	BodyRead struct {
		Trial     bool
		Digest    teaselstream.Digest
		Canonical []byte
		Err       error
	}

	// PeerDigest is a peer's document as its heartbeat states it.
	PeerDigest struct {
		From teaselstream.VMID
		Of   wire.SlotGeneration
	}

	// DeltaReceived is a peer's answer to PullDelta.
	DeltaReceived struct {
		From  teaselstream.VMID
		Delta wire.Delta
	}

	// BodyReceived is one part of a peer's answer to PullBody.
	BodyReceived struct {
		From teaselstream.VMID
		Body wire.Body
	}

	// PullReceived is a peer's question for changes.
	PullReceived struct {
		From teaselstream.VMID
		Pull wire.DeltaPull
	}

	// BodyPullReceived is a peer's question for a whole document.
	BodyPullReceived struct {
		From teaselstream.VMID
		Pull wire.BodyPull
	}

	// WatchSlot asks the store for the slot's value after a revision; SlotRead answers.
	WatchSlot struct {
		Trial bool
		After teaselstream.Revision
	}

	// StopWatch ends the watch of a slot.
	StopWatch struct{ Trial bool }

	// ReadBody asks the store for a document; BodyRead answers.
	ReadBody struct {
		Trial  bool
		Digest teaselstream.Digest
	}

	// PullDelta asks a peer for changes.
	PullDelta struct {
		To   teaselstream.VMID
		Pull wire.DeltaPull
	}

	// PullBody asks a peer for a whole document.
	PullBody struct {
		To   teaselstream.VMID
		Pull wire.BodyPull
	}

	// SendDelta gives a peer one step of changes.
	SendDelta struct {
		To    teaselstream.VMID
		Delta wire.Delta
	}

	// SendBody gives a peer one part of a document.
	SendBody struct {
		To   teaselstream.VMID
		Body wire.Body
	}

	// Adopt puts a document in force; a nil document ends a trial.
	Adopt struct {
		Trial    bool
		Document *teaselstream.Document
	}
)
