// Command gate is the process of an entry VM on a platform that lists its
// servers and its configuration in a key-value store.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/teaselstream/teaselstream/config"
	"github.com/teaselstream/teaselstream/outlog"
)

const (
	exitFailure = 1
	// exitSettings tells a supervisor that a restart with the same settings is useless.
	exitSettings = 2
	// settingsVariable holds the path of the settings file.
	settingsVariable = "TEASELSTREAM_SETTINGS"
)

type options struct {
	Config  string `long:"config" value-name:"FILE" description:"settings of this process; without it the variable TEASELSTREAM_SETTINGS names the file"`
	Check   bool   `long:"check" description:"check the settings and exit"`
	Version bool   `long:"version" description:"print the version and exit"`
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var o options
	if _, err := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args); err != nil {
		var f *flags.Error
		if errors.As(err, &f) && f.Type == flags.ErrHelp {
			fmt.Println(err)
			return 0
		}
		return complain(exitSettings, err)
	}
	if o.Version {
		fmt.Println("gate", version())
		return 0
	}
	file := o.Config
	if file == "" {
		file = os.Getenv(settingsVariable)
	}
	if file == "" {
		return complain(exitSettings, errors.New("--config is missing; accepted: the path of a settings file"))
	}
	settings, err := config.LoadGate(file)
	if err != nil {
		return complain(exitSettings, err)
	}
	if o.Check {
		fmt.Println("settings are valid")
		return 0
	}
	out := outlog.New(os.Stdout)
	defer out.Close()
	log := slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: levelOf(settings.Log.Level)})).With("vm", string(settings.VM.Name))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log.Info("Started", "version", version(), "settings", file)
	if err := serveUntil(ctx, file, settings, log); err != nil {
		log.Error("Failed", "error", err)
		return complain(exitFailure, err)
	}
	log.Info("Stopped")
	return 0
}

func levelOf(name string) slog.Level {
	var l slog.Level
	if err := l.UnmarshalText([]byte(name)); err != nil {
		return slog.LevelInfo
	}
	return l
}

func complain(code int, err error) int {
	fmt.Fprintln(os.Stderr, "gate:", err)
	return code
}

// version returns the module version or revision that the build recorded.
func version() string {
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
