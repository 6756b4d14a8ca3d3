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

	// PeersChanged carries the live VMs that are not leaving; this VM is always included.
	PeersChanged struct{ Live []Peer }

	// SlotRead answers WatchSlot with the generation and digest of the document in the slot.
	SlotRead struct {
		Trial      bool
		Generation teaselstream.Generation
		Digest     teaselstream.Digest
		Revision   teaselstream.Revision
		// Err wraps ErrNotFound if the slot was never written, or is another error of the store.
		Err error
	}

	// BodyRead answers ReadBody.
	BodyRead struct {
		Trial     bool
		Digest    teaselstream.Digest
		Canonical []byte
		Err       error
	}

	// PeerGeneration carries the generation of a document as a peer's heartbeat states it.
	PeerGeneration struct {
		From   teaselstream.VMID
		Stated wire.SlotGeneration
	}

	// DeltaReceived carries one delta of a peer's answer to PullDelta.
	DeltaReceived struct {
		From  teaselstream.VMID
		Delta wire.Delta
	}

	// BodyReceived carries one part of a whole document from a peer.
	BodyReceived struct {
		From teaselstream.VMID
		Body wire.Body
	}

	// PullReceived carries a peer's request for the changes since its document.
	PullReceived struct {
		From teaselstream.VMID
		Pull wire.DeltaPull
	}

	// BodyPullReceived carries a peer's request for a whole document.
	BodyPullReceived struct {
		From teaselstream.VMID
		Pull wire.BodyPull
	}

	// WatchSlot waits for a value of the slot in the store that is newer than a revision; SlotRead answers.
	WatchSlot struct {
		Trial bool
		After teaselstream.Revision
	}

	// StopWatch ends the watch of a slot.
	StopWatch struct{ Trial bool }

	// ReadBody reads a document from the store; BodyRead answers.
	ReadBody struct {
		Trial  bool
		Digest teaselstream.Digest
	}

	// PullDelta asks a peer for the changes since a document.
	PullDelta struct {
		To   teaselstream.VMID
		Pull wire.DeltaPull
	}

	// PullBody asks a peer for a whole document.
	PullBody struct {
		To   teaselstream.VMID
		Pull wire.BodyPull
	}

	// SendDelta sends a peer the changes from one document to the next.
	SendDelta struct {
		To    teaselstream.VMID
		Delta wire.Delta
	}

	// SendBody sends a peer one part of a document.
	SendBody struct {
		To   teaselstream.VMID
		Body wire.Body
	}

	// Adopt puts a document in force, as the trial document if Trial is set.
	Adopt struct {
		Trial    bool
		Document *teaselstream.Document
	}
)
