package teaselstream

type (
	// Bytes is a size in bytes.
	Bytes int64

	// BytesPerSecond is a transfer rate.
	BytesPerSecond float64

	// TokensPerSecond is a generation rate.
	TokensPerSecond float64

	// RequestsPerSecond is a request rate.
	RequestsPerSecond float64

	// Worth is the value that a caller assigns to a completed request; the default is 1.
	Worth float64

	// Priority orders classes of requests; a higher number goes first.
	Priority int

	// Share is a team's weight in the division of the capacity among teams.
	Share float64

	// Millis is a duration in milliseconds in messages on the wire.
	Millis int64
)
