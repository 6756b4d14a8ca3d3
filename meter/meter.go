package meter

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlpmetric/otlpmetrichttp"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/teaselstream/teaselstream"
)

const (
	scopeName = "teaselstream"
	// cardinalityLimit bounds the attribute sets per instrument. It covers 2,400 teams with several priority classes; the
	// library's default of 2,000 does not.
	cardinalityLimit = 20000
	// defaultPushPeriod is the time between two pushes over OTLP if the options set none.
	defaultPushPeriod = 30 * time.Second
)

type (
	// Options configures a Meter.
	Options struct {
		// VM is a label of all metrics.
		VM teaselstream.VMID
		// PushAddress is "host:port" of an OTLP/HTTP collector, or empty.
		PushAddress string
		// PushPeriod is the time between pushes; 0 means 30 s.
		PushPeriod time.Duration
	}

	// Meter owns the instruments; a nil Meter records nothing.
	Meter struct {
		provider *sdk.MeterProvider
		registry *prometheus.Registry

		firstToken metric.Float64Histogram
		tokenGap   metric.Float64Histogram
		total      metric.Float64Histogram
		queueWait  metric.Float64Histogram
		ended      metric.Int64Counter
		events     metric.Int64Counter

		mu      sync.RWMutex
		classes map[classKey]*Class
	}
)

// New returns a Meter whose values can be scraped, and starts pushing if an address is set.
func New(ctx context.Context, o Options) (*Meter, error) {
	m := &Meter{registry: prometheus.NewRegistry(), classes: map[classKey]*Class{}}
	readers, err := m.readers(ctx, o)
	if err != nil {
		return nil, err
	}
	options := []sdk.Option{sdk.WithCardinalityLimit(cardinalityLimit)}
	for _, r := range readers {
		options = append(options, sdk.WithReader(r))
	}
	m.provider = sdk.NewMeterProvider(options...)
	if err := m.createInstruments(o); err != nil {
		return nil, err
	}
	return m, nil
}

func (m *Meter) readers(ctx context.Context, o Options) ([]sdk.Reader, error) {
	scrape, err := otelprom.New(otelprom.WithRegisterer(m.registry), otelprom.WithoutScopeInfo())
	if err != nil {
		return nil, fmt.Errorf("create scrape exporter: %w", err)
	}
	readers := []sdk.Reader{scrape}
	if o.PushAddress == "" {
		return readers, nil
	}
	push, err := otlpmetrichttp.New(ctx, otlpmetrichttp.WithEndpoint(o.PushAddress), otlpmetrichttp.WithInsecure())
	if err != nil {
		return nil, fmt.Errorf("create push exporter: %w", err)
	}
	period := o.PushPeriod
	if period == 0 {
		period = defaultPushPeriod
	}
	return append(readers, sdk.NewPeriodicReader(push, sdk.WithInterval(period))), nil
}

func (m *Meter) createInstruments(o Options) error {
	meter := m.provider.Meter(scopeName, metric.WithInstrumentationAttributes(attribute.String("vm", string(o.VM))))
	var errs [6]error
	m.firstToken, errs[0] = secondsHistogram(meter, "ts.first_token", "time from arrival to the first token", firstTokenBounds)
	m.tokenGap, errs[1] = secondsHistogram(meter, "ts.token_gap", "time between two tokens of a stream", tokenGapBounds)
	m.total, errs[2] = secondsHistogram(meter, "ts.request", "time from arrival to the end of the answer", totalBounds)
	m.queueWait, errs[3] = secondsHistogram(meter, "ts.queue_wait", "time from arrival to admission", firstTokenBounds)
	m.ended, errs[4] = meter.Int64Counter("ts.requests", metric.WithDescription("requests ended, by code and outcome"))
	m.events, errs[5] = meter.Int64Counter("ts.events", metric.WithDescription("events inside the router, by name"))
	if err := errors.Join(errs[:]...); err != nil {
		return fmt.Errorf("create instruments: %w", err)
	}
	return nil
}

func secondsHistogram(m metric.Meter, name, description string, bounds []float64) (metric.Float64Histogram, error) {
	return m.Float64Histogram(name, metric.WithUnit("s"), metric.WithDescription(description),
		metric.WithExplicitBucketBoundaries(bounds...))
}

// Handler serves the metrics in the Prometheus text format.
func (m *Meter) Handler() http.Handler {
	if m == nil {
		return http.NotFoundHandler()
	}
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Stop pushes the last values and releases the exporters.
func (m *Meter) Stop(ctx context.Context) error {
	if m == nil {
		return nil
	}
	if err := m.provider.Shutdown(ctx); err != nil {
		return fmt.Errorf("stop metrics: %w", err)
	}
	return nil
}
