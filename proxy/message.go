package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"

	"github.com/teaselstream/teaselstream"
)

// hopHeaders concern one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEnd returns a copy of a header without what concerns one connection.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// message is a request as it goes to a server.
type message struct {
	method string
	target string
	host   string
	header http.Header
	body   []byte
}

func (m *message) write(w io.Writer) error {
	b := bufio.NewWriter(w)
	if _, err := fmt.Fprintf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n", m.method, m.target, m.host); err != nil {
		return fmt.Errorf("write request line: %w", err)
	}
	m.header.Del("Content-Length")
	if len(m.body) > 0 || m.method != http.MethodGet && m.method != http.MethodHead {
		m.header.Set("Content-Length", strconv.Itoa(len(m.body)))
	}
	if err := m.header.Write(b); err != nil {
		return fmt.Errorf("write header: %w", err)
	}
	if _, err := b.WriteString("\r\n"); err != nil {
		return fmt.Errorf("write header: %w", err)
	}
	if _, err := b.Write(m.body); err != nil {
		return fmt.Errorf("write body: %w", err)
	}
	if err := b.Flush(); err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	return nil
}

// writeHead writes a status line and header.
func writeHead(w *bufio.Writer, status int, h http.Header) error {
	text := http.StatusText(status)
	if text == "" {
		text = "Status"
	}
	if _, err := fmt.Fprintf(w, "HTTP/1.1 %d %s\r\n", status, text); err != nil {
		return fmt.Errorf("write status line: %w", err)
	}
	if err := h.Write(w); err != nil {
		return fmt.Errorf("write header: %w", err)
	}
	if _, err := w.WriteString("\r\n"); err != nil {
		return fmt.Errorf("write header: %w", err)
	}
	return nil
}

// bodiless reports whether an answer has no body whatever its header says.
func bodiless(method string, status int) bool {
	return method == http.MethodHead || status/100 == 1 || status == http.StatusNoContent || status == http.StatusNotModified
}

// ambiguous reports whether the framing of a request could be read in two ways.
func ambiguous(q *http.Request) bool {
	lengths := q.Header.Values("Content-Length")
	return len(q.TransferEncoding) > 0 && len(lengths) > 0 || len(slices.Compact(slices.Clone(lengths))) > 1
}

// headerSize returns the bytes of a request's line and header as they usually stand on the wire.
func headerSize(q *http.Request) teaselstream.Bytes {
	const separators = 4
	n := len(q.Method) + len(q.RequestURI) + len(q.Proto) + separators + len(q.Host) + len("Host: \r\n")
	for name, values := range q.Header {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	return teaselstream.Bytes(n)
}
