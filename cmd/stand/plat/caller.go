package plat

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// SetRequestHeaders sets the headers of a caller's request: the attempt id, the API key and the time that the caller waits.
func SetRequestHeaders(h http.Header, attempt, key string, wait time.Duration) {
	h.Set("X-Attempt-Id", attempt)
	h.Set("X-Api-Key", key)
	h.Set("X-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
}

// SetPrompt sets the headers of a prompt that consists of the given segments, each of segmentTokens tokens; the last one belongs
// to the request alone.
func SetPrompt(h http.Header, segments ...string) {
	const segmentTokens = 40
	for i, s := range segments {
		segments[i] = s + ":" + strconv.Itoa(segmentTokens)
	}
	h.Set("X-Prefix-Hash", strings.Join(segments, ","))
	h.Set("X-Token-Counts", strconv.Itoa(segmentTokens*len(segments))+",40")
}

// ReplicaID returns the id of the replica whose application generated a response, or an empty string if none did.
func ReplicaID(h http.Header) string {
	const prefix = "stamp-"
	stamp := h.Get("X-Replica-Stamp")
	if len(stamp) < len(prefix) || stamp[:len(prefix)] != prefix {
		return ""
	}
	return stamp[len(prefix):]
}

// SaysLeaving reports whether the replica that generated a response says that it leaves.
func SaysLeaving(h http.Header) bool { return h.Get("Server-Leaving") == "1" }

// RetryAfter returns the time that a response asks the caller to wait, or 0.
func RetryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// Configure writes a configuration to the store as the operator does; see Config.
func (f *Fleet) Configure(version int, keys ...string) {
	f.Store.Put("op/config", f.Config(version, keys...))
}
