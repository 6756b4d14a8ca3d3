package plat

import (
	"net/http"
	"testing"
)

// Guards against a response without a valid X-Replica-Stamp header that is taken for one of a replica.
func TestStampOf(t *testing.T) {
	for stamp, want := range map[string]string{"stamp-m1-2": "m1-2", "stamp-": "", "stam": "", "m1": "", "": ""} {
		h := http.Header{"X-Replica-Stamp": {stamp}}
		if got := ReplicaID(h); got != want {
			t.Errorf("StampOf(%q) = %q, want %q", stamp, got, want)
		}
	}
}
