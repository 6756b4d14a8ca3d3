package fleet

import (
	"testing"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/order"
)

// Guards against a log that grows without bound, and against a second run of a call whose record has been dropped.
func TestRetention(t *testing.T) {
	spec := teaselstream.ServiceSpec{Name: "app"}
	f := New(Config{Start: Start, VMs: 2, Seed: 1, Spec: spec, SealBytes: 1, SummarySegments: 4, Tick: 100 * time.Millisecond})
	retain := func(d time.Duration) {
		for _, v := range f.VMs {
			v.Update(order.View{Live: v.live, Retention: d})
		}
	}
	var last order.Reply
	f.OnReply = func(_ int, r order.Reply) { last = r }
	submit := func(n int) {
		at := Start.Add(time.Duration(n) * 10 * time.Second)
		// All keys are in one shard, so that its segments pass the retention period.
		key := (&scenario{}).key(at.Sub(Start), 0)
		c := teaselstream.ServiceCall{Method: "POST", Path: "/orders", Key: key}
		f.VMs[n%2].Submit("r", c, f.Queue.Now().Add(2*time.Second))
		f.Queue.RunUntil(f.Queue.Now().Add(3 * time.Second))
	}
	retain(time.Minute)
	for n := range 200 {
		f.Queue.RunUntil(Start.Add(time.Duration(n) * 10 * time.Second))
		if submit(n); last.Err != nil {
			t.Fatalf("call %d: %v", n, last.Err)
		}
	}
	full := 0
	for _, r := range f.Store.data {
		if len(r.Value) > 0 {
			full++
		}
	}
	// Records are kept for 11 minutes, which is 66 calls. A call may fill two segments, and four segments share one
	// summary.
	if limit := 66*2 + 66/2 + 10; full > limit {
		t.Errorf("%d values are kept in the store, want at most %d", full, limit)
	}
	for _, v := range f.VMs {
		if n := v.Log.IndexedKeys(); n > 2*66+10 {
			t.Errorf("%s keeps %d keys, want at most those of 66 calls", v.Name, n)
		}
	}
	// A longer retention must not make keys acceptable whose records are gone.
	for _, d := range []time.Duration{time.Minute, 24 * time.Hour} {
		retain(d)
		if submit(1); last.Err == nil || last.Err.Code != teaselstream.CodeKeyExpired || last.Err.Outcome != teaselstream.Unknown {
			t.Errorf("resend beyond the retention with retention %v = %+v, want KeyExpired (Unknown)", d, last)
		}
	}
	for key, ran := range f.service.ran {
		if len(ran) > 1 {
			t.Errorf("key %s ran %d times", key, len(ran))
		}
	}
}
