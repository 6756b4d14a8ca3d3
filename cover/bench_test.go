package cover

import (
	"fmt"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

// largeDomain returns a failure domain of 32 servers, some of them empty.
func largeDomain(empty int) *coverScript {
	s := &coverScript{now: time.Unix(1000, 0), orders: make(map[teaselstream.ServerID]Hold)}
	s.decider = Decider{VM: "vm1", Domain: "zone"}
	s.view = &fleet.View{
		Members: make(map[teaselstream.ServerID]*fleet.Member), Pools: make(map[teaselstream.ServiceID][]*fleet.Member),
		Routing: &teaselstream.Routing{Pools: map[teaselstream.ServiceID]*teaselstream.Pool{testService: {Service: testService, Engine: testEngine()}}},
	}
	for i := range 12 {
		s.add([]string{fmt.Sprintf("m%02d", i), "mid", fmt.Sprintf("%d-%d", i%4*10, i%4*10+10)})
	}
	for i := range 20 - empty {
		s.add([]string{fmt.Sprintf("s%02d", i), "small", fmt.Sprintf("%d-%d", i%10*4, i%10*4+4)})
	}
	for i := range empty {
		s.add([]string{fmt.Sprintf("e%02d", i), "small"})
	}
	return s
}

// BenchmarkWants measures one evaluation of a domain of 32 servers, 4 of them empty, after 6 servers have gone down.
func BenchmarkWants(b *testing.B) {
	s := largeDomain(4)
	for _, id := range []teaselstream.ServerID{"m00", "m04", "m08", "s00", "s01", "s10"} {
		s.view.Members[id].State = fleet.Down
	}
	s.decider.Update(s.now, ViewTick{})
	for b.Loop() {
		n := s.decider.domainState(s.now, testEngine(), s.view.Pools[testService], "zone")
		n.neededOrders()
	}
}
