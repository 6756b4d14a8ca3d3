package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/cmd/stand/engsim"
	"github.com/teaselstream/teaselstream/cmd/stand/svcsim"
	"github.com/teaselstream/teaselstream/envdoc"
)

// crashExitCode is the exit code of an engine process that ends at an injected crash.
const crashExitCode = 3

type (
	documentOption struct {
		Document string `long:"document" required:"true" description:"environment document that describes the server"`
	}

	engineCommand struct {
		documentOption
		Name          string        `long:"name" required:"true" description:"name of the [Server NAME] section to serve"`
		LoadLag       time.Duration `long:"load-lag" default:"500ms" description:"maximum age of a load report"`
		EventLag      time.Duration `long:"event-lag" default:"200ms" description:"delay of cache events"`
		EventGap      int           `long:"event-gap" description:"drop every n-th cache event"`
		LayerLoadTime time.Duration `long:"layer-load-time" default:"20ms" description:"time to load the weights of one layer"`
		AnswerTokens  int           `long:"answer-tokens" description:"end each answer after this many tokens"`
		ExitOnCrash   bool          `long:"exit-on-crash" description:"end the process at a crash instead of breaking its connections"`
	}

	serviceCommand struct {
		documentOption
		Name string `long:"name" required:"true" description:"name of the [Service NAME] section whose replicas to serve"`
	}
)

func (o documentOption) read() (*teaselstream.Document, error) {
	data, err := os.ReadFile(o.Document)
	if err != nil {
		return nil, fmt.Errorf("read document: %w", err)
	}
	return envdoc.Parse(o.Document, data)
}

// Execute serves one model engine of the document.
func (c *engineCommand) Execute([]string) error {
	d, err := c.read()
	if err != nil {
		return err
	}
	v, ok := d.Servers[teaselstream.ServerID(c.Name)]
	if !ok || v.Kind != teaselstream.KindModel {
		return fmt.Errorf("%s has no server %q of kind Model", c.Document, c.Name)
	}
	o := engsim.Options{
		Name: v.Name, Model: v.Model, Version: d.Models[v.Model].Version, Layers: v.Layers,
		TimePerLayer: v.TimePerLayer, MaxConcurrent: v.MaxConcurrent, ChecksFencing: v.ChecksFencing, Key: v.Key,
		LoadLag: c.LoadLag, EventLag: c.EventLag, EventGap: c.EventGap, LayerLoadTime: c.LayerLoadTime,
		AnswerTokens: c.AnswerTokens, Incarnation: incarnation(),
	}
	if c.ExitOnCrash {
		o.Exit = func() { os.Exit(crashExitCode) }
	}
	return serve(map[string]http.Handler{v.Address: engsim.New(o)})
}

// Execute serves all replicas of one plain service; they share one order store.
func (c *serviceCommand) Execute([]string) error {
	d, err := c.read()
	if err != nil {
		return err
	}
	var orders svcsim.OrderStore
	handlers := map[string]http.Handler{}
	for _, v := range d.Servers {
		if v.Service == teaselstream.ServiceID(c.Name) {
			handlers[v.Address] = svcsim.NewHandler(&orders, svcsim.Options{
				Name: v.Name, ChecksFencing: v.ChecksFencing, Incarnation: incarnation(),
			})
		}
	}
	if len(handlers) == 0 {
		return fmt.Errorf("%s has no server of service %q", c.Document, c.Name)
	}
	return serve(handlers)
}

// incarnation returns the time in milliseconds, so that a later process gets a higher number.
func incarnation() teaselstream.Incarnation {
	return teaselstream.Incarnation(time.Now().UnixMilli())
}
