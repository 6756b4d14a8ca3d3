package launch

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/jessevdk/go-flags"
)

const (
	// ExitFailure is the exit code of a program that fails.
	ExitFailure = 1
	// ExitSettings is the exit code for invalid settings; it tells a supervisor that a restart with the same settings fails again.
	ExitSettings = 2
)

// Parse parses a command line into options; if done is true, the program must exit with code.
func Parse(program string, options any, args []string) (code int, done bool) {
	_, err := flags.NewParser(options, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args)
	if err == nil {
		return 0, false
	}
	var f *flags.Error
	if errors.As(err, &f) && f.Type == flags.ErrHelp {
		fmt.Println(err)
		return 0, true
	}
	return PrintError(program, ExitSettings, err), true
}

// PrintError prints an error to standard error and returns code, the exit code.
func PrintError(program string, code int, err error) int {
	fmt.Fprintln(os.Stderr, program+":", err)
	return code
}

// Version returns the revision or module version that the build recorded.
func Version() string {
	b, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range b.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return b.Main.Version
}
