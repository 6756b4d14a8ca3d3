package blame

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
	"github.com/teaselstream/teaselstream"
)

// Fingerprint identifies the content of a request, independent of its caller.
type Fingerprint string

// FingerprintOf returns the fingerprint of a model, a prompt and the other parameters that change what engines run.
// It uses a cryptographic hash, so that no caller can cause another caller's content to be refused.
func FingerprintOf(m teaselstream.ModelID, prompt string, parameters ...string) Fingerprint {
	h := sha256.New()
	for _, s := range append([]string{string(m), prompt}, parameters...) {
		// Writes to a hash never fail.
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(s))))
		h.Write([]byte(s))
	}
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:16]))
}

// ownerOf returns the VM that grants permits for a subject, chosen by rendezvous hashing.
func ownerOf(subject Subject, vms []teaselstream.VMID) teaselstream.VMID {
	var owner teaselstream.VMID
	var best uint64
	for _, v := range vms {
		if x := xxhash.Sum64String(string(v) + "\x00" + string(subject)); owner == "" || x > best || x == best && v < owner {
			owner, best = v, x
		}
	}
	return owner
}
