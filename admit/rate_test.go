package admit

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/teaselstream/teaselstream"
)

// runRateScript runs lines "TIME TEAM RATE LIVE-VMS [REQUESTS]" and returns how many requests each line admits.
//
// The scripts guard against rates that are not divided by the live VMs, buckets that hold more than one second or mix
// teams, refusals with an outcome other than NotRun, and teams below 1/s that are always refused.
func runRateScript(t *testing.T, input string) string {
	t.Helper()
	var r RateLimiter
	var out []string
	for _, line := range strings.Split(input, "\n") {
		var at string
		team, vms, n := teaselstream.Team{}, 0, 1
		if k, err := fmt.Sscan(line, &at, &team.Name, &team.Rate, &vms, &n); k < 4 {
			t.Fatalf("%s: %v", line, err)
		}
		d, err := time.ParseDuration(at)
		if err != nil {
			t.Fatal(err)
		}
		admitted, refusal := 0, ""
		for range n {
			err := r.Take(time.Unix(0, 0).Add(d), team, vms)
			var e *teaselstream.Error
			if errors.As(err, &e) {
				refusal = fmt.Sprintf(", %s %s after %v", e.Code, e.Outcome, e.RetryAfter)
			} else {
				admitted++
			}
		}
		out = append(out, fmt.Sprintf("%s %s admitted %d of %d%s", at, team.Name, admitted, n, refusal))
	}
	return strings.Join(out, "\n")
}
