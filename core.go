package teaselstream

import "time"

type (
	// Msg is an input to a state machine; each package declares its own types.
	Msg any

	// Cmd is an action that a state machine asks the code that runs it to carry out.
	Cmd any

	// Core is a deterministic state machine.
	Core interface {
		// Update applies one message at the given time and returns the commands that follow.
		Update(now time.Time, m Msg) []Cmd
	}

	// Clock tells the time; processes use the system clock, and tests use a virtual one.
	Clock interface {
		Now() time.Time
	}

	// Rand is a source of random numbers; processes seed it at random, and tests use a fixed seed.
	Rand interface {
		// Float64 returns a number in [0, 1).
		Float64() float64
		// IntN returns a number in [0, n) and panics if n <= 0.
		IntN(n int) int
	}

	// Tick tells a state machine that time has passed; timers are checked on each tick.
	Tick struct{}
)
