// Command tsstand runs simulators of the systems around the router, for tests and demonstrations: the platform's store
// and machine list, model engines and plain services.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/teaselstream/teaselstream/cmd/stand/kvsim"
	"github.com/teaselstream/teaselstream/cmd/stand/vmsim"
)

type (
	storeCommand struct {
		Listen string `long:"listen" default:"127.0.0.1:19200" description:"address to serve on"`
	}

	listCommand struct {
		Listen string `long:"listen" default:"127.0.0.1:19201" description:"address to serve on"`
		LagMS  int    `long:"lag-ms" description:"delay in milliseconds until a change becomes visible"`
	}
)

func main() {
	p := flags.NewNamedParser("tsstand", flags.HelpFlag|flags.PassDoubleDash)
	if err := addCommands(p); err != nil {
		fmt.Fprintln(os.Stderr, "tsstand:", err)
		os.Exit(2)
	}
	if _, err := p.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, "tsstand:", err)
		os.Exit(1)
	}
}

func addCommands(p *flags.Parser) error {
	for _, c := range []struct {
		name, short string
		data        flags.Commander
	}{
		{"store", "Serve a simulated key-value store", &storeCommand{}},
		{"vmlist", "Serve a simulated list of machines", &listCommand{}},
		{"engine", "Serve a simulated model engine from a document", &engineCommand{}},
		{"service", "Serve the simulated replicas of a plain service from a document", &serviceCommand{}},
	} {
		if _, err := p.AddCommand(c.name, c.short, c.short+"; POST /v1/faults injects faults.", c.data); err != nil {
			return fmt.Errorf("add command: %w", err)
		}
	}
	return nil
}

// Execute serves a store without records.
func (c *storeCommand) Execute([]string) error {
	return serve(map[string]http.Handler{c.Listen: kvsim.NewHandler()})
}

// Execute serves a list without entries.
func (c *listCommand) Execute([]string) error {
	h := vmsim.NewHandler()
	h.Faults.Set(vmsim.Faults{LagMillis: c.LagMS})
	return serve(map[string]http.Handler{c.Listen: h})
}

// serve runs one HTTP server per address until one fails or the process receives SIGTERM or SIGINT.
func serve(handlers map[string]http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	failed := make(chan error, len(handlers))
	for address, h := range handlers {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		fmt.Println("listening on", l.Addr())
		s := &http.Server{Handler: h}
		defer func() { _ = s.Close() }()
		go func() { failed <- s.Serve(l) }()
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return fmt.Errorf("serve: %w", err)
	}
}
