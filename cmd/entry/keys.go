package main

import (
	"sync/atomic"

	"github.com/teaselstream/teaselstream"
)

type (
	// serverKeys returns the API key for the address of a server; its map is rebuilt for each document.
	serverKeys struct{ current atomic.Pointer[documentKeys] }

	documentKeys struct {
		document *teaselstream.Document
		keys     map[string]string
	}
)

func (x *serverKeys) lookup(d *teaselstream.Document, address string) string {
	b := x.current.Load()
	if b == nil || b.document != d {
		b = &documentKeys{document: d, keys: make(map[string]string)}
		for _, s := range d.Servers {
			if s.Key != "" {
				b.keys[s.Address] = s.Key
			}
		}
		x.current.Store(b)
	}
	return b.keys[address]
}
