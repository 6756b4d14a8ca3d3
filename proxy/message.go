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

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEndHeader returns a copy of a header without its hop-by-hop fields.
func endToEndHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// outgoingRequest is a request as it is sent to a server.
type outgoingRequest struct {
	method string
	target string
	host   string
	header http.Header
	body   []byte
	// stream marks requests that are answered with a stream of events.
	stream bool
}

func (m *outgoingRequest) write(w io.Writer) error {
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

// writeResponseHead writes a status line and a header.
func writeResponseHead(w *bufio.Writer, status int, h http.Header) error {
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

// hasNoBody reports whether a response has no body regardless of its header.
func hasNoBody(method string, status int) bool {
	return method == http.MethodHead || status/100 == 1 || status == http.StatusNoContent || status == http.StatusNotModified
}

// ambiguousFraming reports whether a request's body length is stated in conflicting ways, which allows request smuggling.
func ambiguousFraming(q *http.Request) bool {
	lengths := q.Header.Values("Content-Length")
	return len(q.TransferEncoding) > 0 && len(lengths) > 0 || len(slices.Compact(slices.Clone(lengths))) > 1
}

// headerSize returns the size in bytes of a request line and header in their usual wire form.
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
