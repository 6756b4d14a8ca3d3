package plat

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"
)

func (r *Replica) hold(from, to int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.from, r.to = from, to
}

// Guards against streams that never go on because a replica on their path was ordered to give up layers: it waits for what passes
// through them, takes nothing new, and no stream moves to it.
func TestLayersThatAreGivenUp(t *testing.T) {
	f, first, _ := testPair(t)
	second, err := f.Add("m1", "zone-a", "acc")
	if err != nil {
		t.Fatal(err)
	}
	second.hold(0, 1)
	const events, begun = 12, 3
	s := bufio.NewScanner(send(t, first, http.MethodGet, fmt.Sprintf("/draft/?n=%d", events), "a1").Body)
	n := 0
	for s.Scan() {
		if strings.HasPrefix(s.Text(), "id: ") {
			n++
		}
		if n == begun {
			first.hold(1, 1)
			second.hold(1, 1)
		}
	}
	if n != events || s.Err() != nil {
		t.Errorf("%d of %d events, error %v", n, events, s.Err())
	}
	if p := send(t, first, http.MethodGet, "/draft/?n=1", "a2"); p.StatusCode != http.StatusMisdirectedRequest {
		t.Errorf("new stream: status %d, want 421", p.StatusCode)
	}
	path := func(r *Replica) string { return r.Address() + "=0-1" }
	if b, misplaced := first.blockedHop(path(second), path(first)); !misplaced || b != second.Address() {
		t.Errorf("move to a replica without the layers: blocked by %q, misplaced %t", b, misplaced)
	}
}
