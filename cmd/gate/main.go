// Command gate runs the router of an entry VM on a platform that lists its backend servers and configuration
// in a key-value store; command tsentry (cmd/entry) is the router on its own configuration document.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/teaselstream/teaselstream/config"
	"github.com/teaselstream/teaselstream/launch"
	"github.com/teaselstream/teaselstream/outlog"
)

const (
	// settingsVariable is the environment variable with the path of the settings file.
	settingsVariable = "TEASELSTREAM_SETTINGS"
)

// program is the command name in messages.
const program = "gate"

type options struct {
	Config  string `long:"config" value-name:"FILE" description:"settings of this process; without it the variable TEASELSTREAM_SETTINGS names the file"`
	Check   bool   `long:"check" description:"check the settings and exit"`
	Version bool   `long:"version" description:"print the version and exit"`
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var o options
	if code, done := launch.Parse(program, &o, args); done {
		return code
	}
	if o.Version {
		fmt.Println(program, launch.Version())
		return 0
	}
	file := o.Config
	if file == "" {
		file = os.Getenv(settingsVariable)
	}
	if file == "" {
		return launch.PrintError(program, launch.ExitSettings, errors.New("--config is missing; accepted: the path of a settings file"))
	}
	settings, err := config.LoadGate(file)
	if err != nil {
		return launch.PrintError(program, launch.ExitSettings, err)
	}
	if o.Check {
		fmt.Println("settings are valid")
		return 0
	}
	out := outlog.New(os.Stdout)
	defer out.Close()
	log := slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: logLevel(settings.Log.Level)})).With("vm", string(settings.VM.Name))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log.Info("Started", "version", launch.Version(), "settings", file)
	if err := serveUntil(ctx, file, settings, log, nil); err != nil {
		log.Error("Failed", "error", err)
		return launch.PrintError(program, launch.ExitFailure, err)
	}
	log.Info("Stopped")
	return 0
}

func logLevel(name string) slog.Level {
	var l slog.Level
	if err := l.UnmarshalText([]byte(name)); err != nil {
		return slog.LevelInfo
	}
	return l
}
