package config

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// Guards against invalid settings that are accepted, or rejected without line and accepted values.
func TestSettings(t *testing.T) {
	environment := map[string]string{"PEER_SECRET": "s", "OPERATOR_KEY": "k"}
	lookupEnv := func(name string) (string, bool) {
		v, ok := environment[name]
		return v, ok
	}
	datadriven.RunTest(t, "testdata/settings", func(t *testing.T, d *datadriven.TestData) string {
		s, err := parse("settings.ini", []byte(d.Input), lookupEnv)
		if err != nil {
			return err.Error() + "\n"
		}
		return fmt.Sprintf("%s %s %s callers=%s stores=%d read=%v log=%s secret=%v\n", s.VM.Name, s.VM.Domain,
			s.VM.Environment, s.Listen.Callers, len(s.Store.Addresses), s.Limits.ReadTimeout, s.Log.Format, s.Peers.Secret)
	})
}
