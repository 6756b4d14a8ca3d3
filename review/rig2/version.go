//go:build review

package main

import (
	"fmt"
	"net/http"
)

func init() { cases["version"] = version }

// version sends orders while replicas spoil a part of their answers: the last digit of the version in the first line is wrong, "HTTP/1.0" in an
// answer with chunks. The connection ends with it.
func version(b *bench) (bool, error) {
	return b.garble(func(w http.ResponseWriter, q *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			b.record("replica keeps its connection: %v", err)
			return
		}
		defer func() { _ = c.Close() }()
		body := receipt(q.URL.Path)
		if _, err := fmt.Fprintf(c, "HTTP/1.0 200 OK\r\nX-Attempt-Id: %s\r\nX-Replica-Stamp: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
			q.Header.Get("X-Attempt-Id"), w.Header().Get("X-Replica-Stamp"), len(body), body); err != nil {
			b.record("replica could not answer: %v", err)
		}
	}, func(a answer, path string) bool { return a.status/100 == 2 && a.err == nil && a.body != receipt(path) })
}
