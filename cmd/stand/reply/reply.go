package reply

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// maxBodyBytes limits the JSON bodies of requests; it is above the store's limit of 1 MB on a value.
const maxBodyBytes = 2 << 20

// Switches holds the faults that a test or a demonstration has injected; its zero value has none.
type Switches[T any] struct {
	mu    sync.Mutex
	value T
}

// Get returns the current faults.
func (s *Switches[T]) Get() T {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.value
}

// Set replaces the faults.
func (s *Switches[T]) Set(v T) { s.Change(func(x *T) { *x = v }) }

// Change modifies the faults under their lock.
func (s *Switches[T]) Change(f func(*T)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.value)
}

// ServeHTTP replaces the faults by the JSON body of a POST, and answers with the current ones.
func (s *Switches[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var v T
		if !ReadJSON(w, r, &v) {
			return
		}
		s.Set(v)
	}
	JSON(w, http.StatusOK, s.Get())
}

// JSON writes a response with a JSON body.
func JSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		Error(w, http.StatusInternalServerError, "encode: %v", err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

// Error writes a response with a JSON error message.
func Error(w http.ResponseWriter, status int, format string, args ...any) {
	JSON(w, status, struct{ Error string }{fmt.Sprintf(format, args...)})
}

// ReadJSON decodes the JSON body of a request without unknown fields, or answers 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		Error(w, http.StatusBadRequest, "body: %v", err)
		return false
	}
	return true
}

// Body returns the body of a request, or answers 413 and returns false.
func Body(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, bool) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		Error(w, http.StatusRequestEntityTooLarge, "body: %v", err)
		return nil, false
	}
	return data, true
}

// Abort closes the connection of the current call without a response.
func Abort() { panic(http.ErrAbortHandler) }

// Sleep waits for d or until the context ends, and reports whether the time passed.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
