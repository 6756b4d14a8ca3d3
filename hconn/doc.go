// Package hconn is the HTTP client that the clients of engines, services and
// platform systems share. The error of a failed call states whether any byte
// of the request can have reached the server.
package hconn
