package meter

import (
	"context"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/teaselstream/teaselstream"
)

var (
	// Histogram bounds in seconds. The latency targets 0.39 s and 28 ms are bounds themselves, so that the buckets show how
	// many requests meet them.
	firstTokenBounds = []float64{.001, .005, .01, .025, .05, .1, .2, .3, .39, .5, .75, 1, 2, 5, 10}
	tokenGapBounds   = []float64{.0005, .001, .0025, .005, .01, .015, .02, .028, .04, .06, .1, .25, .5, 1, 2}
	totalBounds      = []float64{.005, .025, .1, .25, .5, 1, 2, 5, 10, 20, 40, 80}
)

type (
	// Class records the metrics of one team and priority; a nil Class records nothing.
	Class struct {
		meter *Meter
		team  teaselstream.TeamID
		// options is built once, because building it for each token would allocate.
		options []metric.RecordOption
	}

	classKey struct {
		team     teaselstream.TeamID
		priority teaselstream.Priority
	}
)

// Class returns the recorder of a team and priority class.
func (m *Meter) Class(t teaselstream.TeamID, p teaselstream.Priority) *Class {
	if m == nil {
		return nil
	}
	k := classKey{team: t, priority: p}
	m.mu.RLock()
	c := m.classes[k]
	m.mu.RUnlock()
	if c != nil {
		return c
	}
	return m.addClass(k)
}

func (m *Meter) addClass(k classKey) *Class {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c := m.classes[k]; c != nil {
		return c
	}
	set := attribute.NewSet(
		attribute.String("team", string(k.team)),
		attribute.String("class", strconv.Itoa(int(k.priority))),
	)
	c := &Class{meter: m, team: k.team, options: []metric.RecordOption{metric.WithAttributeSet(set)}}
	m.classes[k] = c
	return c
}

// FirstToken records the time from arrival to the first token.
func (c *Class) FirstToken(d time.Duration) {
	if c != nil {
		c.meter.firstToken.Record(context.Background(), d.Seconds(), c.options...)
	}
}

// TokenGap records the time between two tokens.
func (c *Class) TokenGap(d time.Duration) {
	if c != nil {
		c.meter.tokenGap.Record(context.Background(), d.Seconds(), c.options...)
	}
}

// QueueWait records the time from arrival to admission.
func (c *Class) QueueWait(d time.Duration) {
	if c != nil {
		c.meter.queueWait.Record(context.Background(), d.Seconds(), c.options...)
	}
}

// Ended records the end of a request with its total time; code is empty for a complete answer.
func (c *Class) Ended(d time.Duration, code teaselstream.Code, o teaselstream.Outcome) {
	if c == nil {
		return
	}
	c.meter.total.Record(context.Background(), d.Seconds(), c.options...)
	c.meter.ended.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("team", string(c.team)),
		attribute.String("code", string(code)),
		attribute.String("outcome", o.String()),
	))
}
