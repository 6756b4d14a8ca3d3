// Package proxy forwards HTTP/1.1 requests from callers to backend servers; command gate runs it.
//
// Server reads requests from callers' connections, Handler matches the route and
// executes the decisions of packages flow, chain and pick, and Pool keeps idle
// connections to backend servers. Requests are parsed with net/http's message
// readers, which report whether a body ended as its framing announced; fasthttp's
// server reads the body before its handler runs and does not report a caller
// that disconnects meanwhile.
package proxy
