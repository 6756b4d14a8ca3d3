package plat

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream/sock"
)

const testPause = 300 * time.Millisecond

// testPair returns a fleet with a replica that holds the only layers, and one of the plain service.
func testPair(t *testing.T) (f *Fleet, model, plain *Replica) {
	t.Helper()
	f = &Fleet{Store: &Store{}, ModelService: "model", PlainService: "plain", Layers: 1}
	t.Cleanup(f.Close)
	model, err := f.Add("m0", "zone-a", "acc")
	if err != nil {
		t.Fatal(err)
	}
	if plain, err = f.Add("p0", "zone-a", ""); err != nil {
		t.Fatal(err)
	}
	model.hold(0, 1)
	return f, model, plain
}

func send(t *testing.T, r *Replica, method, path, attempt string) *http.Response {
	t.Helper()
	q, err := http.NewRequest(method, "http://"+r.Address()+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	SetRequestHeaders(q.Header, attempt, "key", time.Second)
	q.Header.Set("X-Hop-Count", r.Address()+"=0-1")
	p, err := http.DefaultTransport.(*http.Transport).Clone().RoundTrip(q)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { sock.Discard(p.Body) })
	return p
}

// Guards against a paused replica that sends, runs or writes something in its pause, that closes connections, or that loses a part
// of what came before or meanwhile.
func TestPausedReplica(t *testing.T) {
	f, model, plain := testPair(t)
	const events, paused = 20, 5
	s := bufio.NewScanner(send(t, model, http.MethodGet, fmt.Sprintf("/draft/?n=%d", events), "a1").Body)
	var ids []string
	var began, ended time.Time
	for s.Scan() {
		if id, ok := strings.CutPrefix(s.Text(), "id: "); ok {
			ids = append(ids, id)
			if len(ids) == paused+1 {
				ended = time.Now()
			}
		}
		if len(ids) == paused && began.IsZero() {
			began = time.Now()
			PauseAll(testPause, model, plain)
		}
	}
	if len(ids) != events || s.Err() != nil {
		t.Errorf("the stream ended with events %v and error %v, want %d events", ids, s.Err(), events)
	}
	if took := ended.Sub(began); took < testPause {
		t.Errorf("the next event came %s after the beginning of a pause of %s", took, testPause)
	}
	revision := f.Store.Copy().revision
	PauseAll(testPause, model, plain)
	began = time.Now()
	var wait sync.WaitGroup
	wait.Go(plain.Heartbeat)
	wait.Go(func() { send(t, model, http.MethodGet, "/v1/report", "") })
	for i := range 3 {
		wait.Go(func() {
			if b, err := io.ReadAll(send(t, plain, http.MethodPost, "/order/1", fmt.Sprint("b", i)).Body); err != nil || len(b) == 0 {
				t.Errorf("call: answer %q, error %v", b, err)
			}
		})
	}
	time.Sleep(testPause / 2)
	if f.Ran("b0")+f.Ran("b1")+f.Ran("b2") > 0 || len(plain.Reached()) > 0 || f.Store.Copy().revision != revision {
		t.Error("a paused replica ran a call, took a request or wrote its entry")
	}
	wait.Wait()
	if took := time.Since(began); took < testPause {
		t.Errorf("everything was answered %s after the beginning of a pause of %s", took, testPause)
	}
	if f.Ran("b0") != 1 || f.Ran("b1") != 1 || f.Ran("b2") != 1 || f.Store.Copy().revision == revision {
		t.Error("what came in the pause did not take effect once afterwards")
	}
}

// heldWriter passes nothing on until a pause has ended.
type heldWriter struct {
	*httptest.ResponseRecorder
	pause *pause
}

// Write waits for the end of the pause.
func (w heldWriter) Write(b []byte) (int, error) {
	w.pause.wait()
	return w.ResponseRecorder.Write(b)
}

// Guards against a paused replica that holds up the streams of others, which look at its layers, because it was answering a report.
func TestPausedReplicaHoldsUpNoOther(t *testing.T) {
	_, model, _ := testPair(t)
	model.Pause(testPause)
	var wait sync.WaitGroup
	defer wait.Wait()
	wait.Go(func() { model.report(heldWriter{httptest.NewRecorder(), &model.pause}) })
	time.Sleep(testPause / 3)
	began := time.Now()
	model.HeldLayers()
	if took := time.Since(began); took > testPause/3 {
		t.Errorf("the layers of a paused replica were known after %s", took)
	}
}
