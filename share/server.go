package share

import (
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/teaselstream/teaselstream"
)

// changesPath is the call with which a VM asks a reader for changes.
const changesPath = "/changes"

// Serve answers the other VMs of the domain until the listener is closed.
func (d *Directory) Serve(l net.Listener) error {
	s := &fasthttp.Server{Handler: d.handle, ReadTimeout: time.Minute, NoDefaultServerHeader: true, NoDefaultDate: true, CloseOnShutdown: true}
	if err := s.Serve(l); err != nil {
		return fmt.Errorf("serve peers: %w", err)
	}
	return nil
}

func (d *Directory) handle(c *fasthttp.RequestCtx) {
	after, err := c.QueryArgs().GetUint("after")
	if err != nil || string(c.Path()) != changesPath {
		c.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	prefix := string(c.QueryArgs().Peek("prefix"))
	x, status := d.answer(prefix, teaselstream.Revision(after))
	if status != fasthttp.StatusOK {
		c.SetStatusCode(status)
		return
	}
	body, err := encode(x)
	if err != nil {
		d.Log.Error("AnswerNotEncoded", "error", err)
		c.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	c.SetBody(body)
}

// answer waits for changes after a revision, for a limited time.
func (d *Directory) answer(prefix string, after teaselstream.Revision) (relayed, int) {
	limit := time.NewTimer(min(relayWait, staleTime-time.Since(d.changes.UpdatedAt())))
	defer limit.Stop()
	for {
		age := time.Since(d.changes.UpdatedAt())
		if age >= staleTime {
			return relayed{}, fasthttp.StatusServiceUnavailable
		}
		changed := d.changes.NextChange()
		entries, at, ok := d.changes.Since(time.Now(), prefix, after)
		if !ok {
			return relayed{}, fasthttp.StatusGone
		}
		if len(entries) > 0 {
			return relayed{entries, at, age}, fasthttp.StatusOK
		}
		select {
		case <-changed:
		case <-limit.C:
			if age = time.Since(d.changes.UpdatedAt()); age >= staleTime {
				return relayed{}, fasthttp.StatusServiceUnavailable
			}
			return relayed{nil, at, age}, fasthttp.StatusOK
		}
	}
}
