// Package proxy forwards HTTP/1.1 requests of callers to backend servers.
//
// Server reads requests from callers' connections, Handler finds the route and
// carries out the decisions of packages flow, chain and pick, and Pool keeps
// connections to backend servers. Requests are parsed by net/http's message
// readers, which state whether a body ended as its framing announced; fasthttp's
// server reads the body before its handler runs and does not report a caller
// that leaves meanwhile.
package proxy
