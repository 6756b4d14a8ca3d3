//go:build review

package main

import (
	"compress/gzip"
	"errors"
	"fmt"
	"net/http"
)

func init() { cases["encode"] = encode }

// encode sends orders while replicas spoil a part of their answers: they send a body with a Content-Encoding, which nobody has asked for.
func encode(b *bench) (bool, error) {
	return b.garble(func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Content-Encoding", "gzip")
		z := gzip.NewWriter(w)
		_, err := fmt.Fprintf(z, "%s is recorded\n", q.URL.Path)
		if err = errors.Join(err, z.Close()); err != nil {
			b.record("replica could not answer: %v", err)
		}
	}, func(a answer) bool { return a.status/100 == 2 && a.header.Get("Content-Encoding") != "" })
}
