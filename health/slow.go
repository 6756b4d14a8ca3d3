package health

import (
	"slices"
	"time"

	"github.com/teaselstream/teaselstream"
)

type (
	// cohort identifies servers of one model, accelerator and layer range, whose times per layer can be compared.
	cohort struct {
		model       teaselstream.ModelID
		accelerator teaselstream.Accelerator
		layers      teaselstream.LayerRange
	}

	// cohortStats holds the servers of a cohort and the median of their slowdown estimates, 0 if too few are known.
	cohortStats struct {
		servers []*server
		median  float64
	}
)

const (
	// learningRate is the fraction of a sample's error by which the estimates of its chain are corrected.
	// With 0.2, noise put healthy servers on probation 15 times; with 0.05 it never did.
	learningRate = 0.05
	// longMeanRate is the weight of a new estimate in the long-term mean.
	longMeanRate = 0.005
	// minSamples is the number of samples before an estimate is used, longMeanSamples before the long-term mean is.
	minSamples      = 10
	longMeanSamples = 200
	// slowRatio is the ratio to comparable servers, or to the own long-term mean, from which a server counts as slow.
	// Load alone changes times by less, because the planner balances it.
	slowRatio = 2.0
	// slowHits is the number of consecutive samples at slowRatio or more that ejects a server.
	slowHits = 5
	// recoveredRatio is the ratio up to which probation may end; it is well below slowRatio to prevent oscillation.
	recoveredRatio = 1.4
	// minCohort is the number of comparable servers with estimates that a median needs.
	minCohort = 3
	// slowdownPublishRatio is the factor by which the slowdown must change before it is published again.
	slowdownPublishRatio = 1.2
)

func cohortOf(s *server) cohort { return cohort{s.Model, s.Accelerator, s.Layers} }

// latency corrects the estimates of a chain's servers by one step of normalized least mean squares.
// Only whole chains are timed; because chains overlap, the estimate of a slow server rises and those of its partners do not.
func (m *Monitor) latency(now time.Time, x Latency) []teaselstream.Cmd {
	predicted, norm := 0.0, 0.0
	for _, h := range x.Chain {
		s := m.servers[h.Server]
		if s == nil {
			return nil
		}
		e := expected(s, h)
		predicted += e * s.slow
		norm += e * e
	}
	if norm == 0 {
		return nil
	}
	residual := (x.PerToken - x.Transfer).Seconds() - predicted
	for _, h := range x.Chain {
		s := m.servers[h.Server]
		s.slow = max(s.slow+learningRate*residual*expected(s, h)/norm, 0.05)
		s.samples++
		m.checkSlow(now, s)
	}
	return m.publish(now, false)
}

// expected returns the time in seconds that a server needs for its part of the chain according to the document.
func expected(s *server, h teaselstream.Hop) float64 {
	return s.TimePerLayer.Seconds() * float64(h.To-h.From)
}

// checkSlow ejects a server after slowHits slow samples in a row. Other samples update the long-term mean of a serving
// server.
func (m *Monitor) checkSlow(now time.Time, s *server) {
	if s.samples < minSamples {
		return
	}
	if m.ratio(s) < slowRatio {
		s.slowHits = 0
		if s.state == teaselstream.Serving {
			s.longMean += longMeanRate * (s.slow - s.longMean)
		}
		return
	}
	s.slowHits++
	if s.slowHits >= slowHits {
		m.eject(now, s, CauseSlow)
	}
}

// ratio returns the ratio of a server's estimate to the median of its cohort, or to its own long-term mean if the cohort
// is too small.
func (m *Monitor) ratio(s *server) float64 {
	if g := m.cohorts[cohortOf(s)]; g != nil && g.median > 0 {
		return s.slow / g.median
	}
	if s.samples < longMeanSamples {
		return 1
	}
	return s.slow / s.longMean
}

// updateMedians recomputes the cohort medians; it runs on ticks rather than on samples to keep samples cheap.
func (m *Monitor) updateMedians() {
	for _, g := range m.cohorts {
		var slow []float64
		for _, o := range g.servers {
			if o.samples >= minSamples {
				slow = append(slow, o.slow)
			}
		}
		g.median = 0
		if len(slow) >= minCohort {
			slices.Sort(slow)
			g.median = slow[(len(slow)-1)/2]
		}
	}
}

// slowdown returns the Slowdown to publish. It is relative to comparable servers, because the planner accounts for load
// itself and load slows all of them alike.
func (m *Monitor) slowdown(s *server) float64 {
	if s.samples < minSamples {
		if s.published.Slowdown > 0 {
			return s.published.Slowdown
		}
		return 1
	}
	return max(m.ratio(s), 0.1)
}
