package status

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/fleet"
)

const (
	// maxBytes bounds a message; 4,096 records take about 700 KB.
	maxBytes = 1 << 20
	// maxElements bounds the records, teams or stalled requests in a message. A failure domain has some hundred servers.
	maxElements = 4096
	// maxPaths and maxPathServers bound a report of streams that stand still.
	maxPaths       = 32
	maxPathServers = 32
	// maxRequests and maxCacheUnits are above what any server reports.
	maxRequests   = 1 << 20
	maxCacheUnits = 1 << 50
	maxPace       = 1000.0
	// maxAge bounds the durations in a record.
	maxAge = time.Hour
)

var (
	errRange = errors.New("a number is out of range")

	decoding = newDecoding()
)

func newDecoding() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		// The options are constant, so that any test would show an error.
		panic(err)
	}
	return m
}

// encode returns a message as CBOR. It is not compressed: a message has some kilobytes, stays in the failure domain, and processor time is
// scarcer than bytes there.
func encode(x any) ([]byte, error) {
	b, err := cbor.Marshal(x)
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	return b, nil
}

// decode reads a message of at most maxBytes; fields that are not known are ignored.
func decode(body []byte, x any) error {
	if len(body) > maxBytes {
		return fmt.Errorf("decode message of %d bytes: %w", len(body), errRange)
	}
	if err := decoding.Unmarshal(body, x); err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	return nil
}

// decodeAnswer reads an answer without the records that hold a number which no VM sends, and returns how many these are: one odd record must not
// keep the others away.
func decodeAnswer(body []byte) (a Answer, dropped int, err error) {
	if err := decode(body, &a); err != nil {
		return Answer{}, 0, err
	}
	all := len(a.Records)
	a.Records = slices.DeleteFunc(a.Records, func(r Record) bool { return r.check() != nil })
	return a, all - len(a.Records), checkTeams(a.Teams)
}

func decodeAsk(body []byte) (Ask, error) {
	var a Ask
	if err := decode(body, &a); err != nil {
		return Ask{}, err
	}
	return a, checkTeams(a.Teams)
}

func decodeStall(body []byte) (Stall, error) {
	var s Stall
	if err := decode(body, &s); err != nil {
		return Stall{}, err
	}
	if len(s.Paths) > maxPaths {
		return Stall{}, errRange
	}
	for _, p := range s.Paths {
		if len(p) > maxPathServers {
			return Stall{}, errRange
		}
	}
	return s, nil
}

func decodeReport(body []byte) (ReportAnswer, error) {
	var a ReportAnswer
	if err := decode(body, &a); err != nil {
		return ReportAnswer{}, err
	}
	r := a.Report
	return a, checkLoad(r.Running, r.Waiting, r.CacheUsed, r.CacheTotal, r.Pace, r.Holds)
}

// check returns an error if the record holds a number that no VM sends.
func (r *Record) check() error {
	if r.Server == "" || r.State > fleet.Ended || r.Age < 0 || r.Age > maxAge || r.SilentFor < 0 || r.SilentFor > maxAge {
		return errRange
	}
	return checkLoad(r.Running, r.Waiting, r.CacheUsed, r.CacheTotal, r.Pace, r.Holds)
}

func checkLoad(running, waiting int, used, total int64, pace float64, holds teaselstream.LayerRange) error {
	switch {
	case running < 0 || running > maxRequests || waiting < 0 || waiting > maxRequests:
	case used < 0 || used > maxCacheUnits || total < 0 || total > maxCacheUnits:
	case math.IsNaN(pace) || pace < 0 || pace > maxPace:
	case holds.From < 0 || holds.To < holds.From || holds.To > maxRequests:
	default:
		return nil
	}
	return errRange
}

func checkTeams(teams []TeamLoad) error {
	for _, t := range teams {
		if t.Running < 0 || t.Running > maxRequests {
			return fmt.Errorf("running requests of team %q: %w", t.Team, errRange)
		}
	}
	return nil
}
