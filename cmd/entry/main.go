// Command tsentry (cmd/entry) runs the router of an entry VM on its own environment document, which operators promote
// with tsctl; command gate (cmd/gate) is the router on a platform that lists its backend servers in a key-value store.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/teaselstream/teaselstream/config"
	"github.com/teaselstream/teaselstream/launch"
)

// program is the command name in messages.
const program = "tsentry"

type options struct {
	Config  string `long:"config" value-name:"FILE" description:"settings of this process"`
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
	if o.Config == "" {
		return launch.PrintError(program, launch.ExitSettings, errors.New("--config is missing; accepted: the path of a settings file"))
	}
	settings, err := config.LoadEntry(o.Config)
	if err != nil {
		return launch.PrintError(program, launch.ExitSettings, err)
	}
	if o.Check {
		fmt.Println("settings are valid")
		return 0
	}
	setLog(settings.Log)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := serveUntil(ctx, settings); err != nil {
		return launch.PrintError(program, launch.ExitFailure, err)
	}
	return 0
}
