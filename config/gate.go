package config

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"gopkg.in/ini.v1"

	"github.com/teaselstream/teaselstream"
)

const (
	defaultDrainTime   = 2 * time.Second
	defaultGraceTime   = 8 * time.Second
	defaultRetryRatio  = 0.2
	defaultRetryWindow = 10 * time.Second
	defaultRetrySlack  = 100
	bytesPerMB         = 1 << 20
)

type (
	// GateSettings holds the settings of cmd/gate, the router on a platform that lists its servers in a store.
	GateSettings struct {
		VM     VM
		Listen GateListen
		Store  Store
		Log    Log
		Bounds GateBounds
		Domain GateDomain
	}

	// GateDomain says what the VMs of a failure domain do together.
	GateDomain struct {
		// Observe lets one VM look at the model servers for all VMs of its failure domain.
		Observe bool
		// Order, with Observe, lets requests wait for room in the order of their urgency before they are sent to a server.
		Order bool
		// Pace, with Observe, lets servers that have started or recovered take over their work at the pace at which they answer.
		Pace bool
	}

	// GateListen holds the "IP:port" addresses of the listeners.
	GateListen struct {
		Callers string
		Ready   string
		Metrics string
		// Peers is the listener for other VMs that read the changes of the store; it is disabled if empty.
		Peers string
		// Relay is the listener for other VMs that reach no server and send through this one; it is disabled if empty.
		Relay string
	}

	// GateBounds holds the durations, the retry budget and the memory that the platform specifies.
	GateBounds struct {
		// DrainTime is the maximum time for which a server that leaves may still get new work.
		DrainTime time.Duration
		// GraceTime is the time from SIGTERM to SIGKILL.
		GraceTime time.Duration
		// Within RetryWindow, all VMs together may send RetryRatio retries per request plus RetrySlack retries.
		RetryRatio  float64
		RetryWindow time.Duration
		RetrySlack  float64
		// Memory is the memory of the process, above which the platform ends it; 0 means that it is not known.
		Memory teaselstream.Bytes
	}
)

// LoadGate reads and checks the settings file of cmd/gate; its error lists every invalid setting.
func LoadGate(file string) (GateSettings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return GateSettings{}, fmt.Errorf("read settings: %w", err)
	}
	r := newReader(file, filepath.Dir(file), data, os.LookupEnv)
	f, err := ini.LoadSources(iniOptions, data)
	if err != nil {
		return GateSettings{}, fmt.Errorf("parse settings %s: %w", file, err)
	}
	r.file = f
	s := r.gateSettings()
	r.reportUnknown()
	if err := errors.Join(r.sortedErrors()...); err != nil {
		return GateSettings{}, err
	}
	return s, nil
}

func (r *reader) gateSettings() GateSettings {
	return GateSettings{
		VM: VM{
			Name:   teaselstream.VMID(r.required("VM", "Name", nameFormat)),
			Domain: teaselstream.DomainID(r.required("VM", "Domain", nameFormat)),
		},
		Listen: GateListen{
			Callers: r.required("Listen", "Callers", addressFormat),
			Ready:   r.required("Listen", "Ready", addressFormat),
			Metrics: r.optional("Listen", "Metrics", addressFormat, ""),
			Peers:   r.optional("Listen", "Peers", addressFormat, ""),
			Relay:   r.optional("Listen", "Relay", addressFormat, ""),
		},
		Store: Store{Addresses: r.addresses("Store", "Addresses", true)},
		Log:   Log{Level: r.optional("Log", "Level", choiceFormat("debug", "info", "warn", "error"), "info")},
		Bounds: GateBounds{
			DrainTime:   r.duration("Bounds", "DrainTime", defaultDrainTime),
			GraceTime:   r.duration("Bounds", "GraceTime", defaultGraceTime),
			RetryRatio:  r.number("Bounds", "RetryRatio", defaultRetryRatio),
			RetryWindow: r.duration("Bounds", "RetryWindow", defaultRetryWindow),
			RetrySlack:  r.number("Bounds", "RetrySlack", defaultRetrySlack),
			Memory:      teaselstream.Bytes(r.number("Bounds", "MemoryMB", 0) * bytesPerMB),
		},
		Domain: GateDomain{
			Observe: r.optional("Domain", "Observe", choiceFormat("on", "off"), "off") == "on",
			Order:   r.optional("Domain", "Order", choiceFormat("on", "off"), "off") == "on",
			Pace:    r.optional("Domain", "Pace", choiceFormat("on", "off"), "off") == "on",
		},
	}
}

func (r *reader) number(section, key string, fallback float64) float64 {
	v := r.optional(section, key, numberFormat, "")
	n, err := strconv.ParseFloat(v, 64)
	if err != nil {
		return fallback
	}
	return n
}

var numberFormat = valueFormat{"a number of 0 or more", func(v string) bool {
	n, err := strconv.ParseFloat(v, 64)
	return err == nil && n >= 0
}}
