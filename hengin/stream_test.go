package hengin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/teaselstream/teaselstream"
)

// Guards against answers that are read differently when they arrive in pieces, and against malformed answers that are
// taken for complete ones.
//
// The script is the engine's answer byte for byte; "|" separates its writes, and \r and \n stand for these characters.
func TestStreams(t *testing.T) {
	datadriven.RunTest(t, "testdata/streams", func(t *testing.T, d *datadriven.TestData) string {
		raw := strings.NewReplacer("\n", "", `\r`, "\r", `\n`, "\n").Replace(d.Input)
		var c Client
		defer c.Close()
		address, stop := serveAnswer(t, strings.Split(raw, "|"))
		defer stop()
		return readAll(t, &c, address)
	})
}

// serveAnswer accepts one connection and writes the pieces of an answer to it.
func serveAnswer(t *testing.T, pieces []string) (address string, stop func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan struct{})
	go func() {
		defer close(served)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = c.Read(make([]byte, 4096))
		for _, p := range pieces {
			_, _ = io.WriteString(c, p)
			time.Sleep(time.Millisecond)
		}
	}()
	return l.Addr().String(), func() { _ = l.Close(); <-served }
}

func readAll(t *testing.T, c *Client, address string) string {
	t.Helper()
	s, err := c.Start(context.Background(), address, teaselstream.StreamRequest{Request: "r", Attempt: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	var b strings.Builder
	for {
		m, err := s.Next(time.Second)
		if err != nil {
			var e *teaselstream.Error
			switch {
			case errors.As(err, &e):
				fmt.Fprintf(&b, "refused: %s\n", e.Code)
			case !errors.Is(err, io.EOF):
				b.WriteString("error: " + strings.ReplaceAll(err.Error(), address, "ENGINE") + "\n")
			default:
				b.WriteString("end\n")
			}
			return b.String()
		}
		switch m := m.(type) {
		case *teaselstream.TokenEvent:
			fmt.Fprintf(&b, "token %d %s\n", m.Index, strconv.Quote(m.Text))
		case teaselstream.StreamKeepAlive:
		default:
			fmt.Fprintf(&b, "%T %+v\n", m, m)
		}
	}
}
