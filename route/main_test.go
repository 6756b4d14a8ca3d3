package route

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid, so that each run gives the same result; a flag on the command line overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}
