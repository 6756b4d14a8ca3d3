package share

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/teaselstream/teaselstream"
)

// changesPath is the URL path at which a reader returns changes.
const changesPath = "/changes"

// Serve answers the other VMs of the failure domain until the listener is closed.
func (d *Directory) Serve(l net.Listener) error {
	s := &fasthttp.Server{Handler: d.handle, ReadTimeout: time.Minute, NoDefaultServerHeader: true, NoDefaultDate: true, CloseOnShutdown: true}
	if err := s.Serve(l); err != nil {
		return fmt.Errorf("serve peers: %w", err)
	}
	return nil
}

func (d *Directory) handle(c *fasthttp.RequestCtx) {
	if h := d.Handlers[string(c.Path())]; h != nil {
		h(c)
		return
	}
	revision, err := strconv.ParseUint(string(c.QueryArgs().Peek("after")), 10, 64)
	era, eraErr := strconv.ParseUint(string(c.QueryArgs().Peek("era")), 10, 64)
	if err != nil || eraErr != nil || string(c.Path()) != changesPath {
		c.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	prefix := string(c.QueryArgs().Peek("prefix"))
	x, status := d.awaitChanges(prefix, teaselstream.Position{Era: teaselstream.Era(era), Revision: teaselstream.Revision(revision)})
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

// awaitChanges waits up to readerHoldTime for changes after a position and returns them with an HTTP status. If the log does not reach
// back that far, or is of a later era, it returns all entries at once, or 410 if they are not known or the log is of an earlier era.
// The status is 503 if the store's last answer is older than maxStoreAge.
func (d *Directory) awaitChanges(prefix string, after teaselstream.Position) (readerAnswer, int) {
	limit := time.NewTimer(min(readerHoldTime, maxStoreAge-time.Since(d.changes.UpdatedAt())))
	defer limit.Stop()
	for {
		age := time.Since(d.changes.UpdatedAt())
		if age >= maxStoreAge {
			return readerAnswer{}, fasthttp.StatusServiceUnavailable
		}
		changed := d.changes.NextChange()
		entries, at, ok := d.changes.Since(time.Now(), prefix, after)
		if !ok {
			if entries, at, ok = d.changes.State(prefix, after); !ok {
				return readerAnswer{}, fasthttp.StatusGone
			}
			return readerAnswer{Entries: entries, At: at, Whole: true, Age: age}, fasthttp.StatusOK
		}
		if len(entries) > 0 {
			return readerAnswer{Entries: entries, At: at, Age: age}, fasthttp.StatusOK
		}
		select {
		case <-changed:
		case <-limit.C:
			if age = time.Since(d.changes.UpdatedAt()); age >= maxStoreAge {
				return readerAnswer{}, fasthttp.StatusServiceUnavailable
			}
			return readerAnswer{At: at, Age: age}, fasthttp.StatusOK
		}
	}
}
