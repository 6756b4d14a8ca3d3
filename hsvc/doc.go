// Package hsvc is the HTTP client of plain services.
package hsvc
