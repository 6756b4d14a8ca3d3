package meter

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream"
)

// Guards against metrics without the labels for team and class, which operators need to tell teams apart.
func TestScrapeShowsTeamAndClass(t *testing.T) {
	m, err := New(context.Background(), Options{VM: "vm1"})
	if err != nil {
		t.Fatal(err)
	}
	c := m.Class("blue", 5)
	c.FirstToken(300 * time.Millisecond)
	c.Ended(time.Second, "", teaselstream.Ran)
	m.Count(StageLost, 2)

	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{
		`ts_first_token_seconds_bucket{class="5",`,
		`outcome="Ran"`,
		`event="StageLost"`,
		`team="blue"`,
	} {
		if !strings.Contains(w.Body.String(), want) {
			t.Errorf("scrape lacks %s:\n%s", want, w.Body)
		}
	}
}

// Guards against an allocation per token, which limits the tokens relayed per core.
func TestTokenGapDoesNotAllocate(t *testing.T) {
	m, err := New(context.Background(), Options{})
	if err != nil {
		t.Fatal(err)
	}
	c := m.Class("blue", 5)
	if n := testing.AllocsPerRun(100, func() { c.TokenGap(time.Millisecond) }); n > 0 {
		t.Errorf("allocations per token = %v, want 0", n)
	}
}

// Guards against a panic with metrics disabled.
func TestNilMeter(t *testing.T) {
	var m *Meter
	m.Class("blue", 1).TokenGap(time.Second)
	m.Count(Retry, 1)
}
