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
)

type (
	// GateSettings holds the settings of a VM's process on a platform that lists its servers in a store.
	GateSettings struct {
		VM     VM
		Listen GateListen
		Store  Store
		Log    Log
		Bounds GateBounds
	}

	// GateListen holds the "IP:port" addresses of the listeners.
	GateListen struct {
		Callers string
		Ready   string
		Metrics string
		// Peers is where other VMs ask for changes of the store; empty switches that off.
		Peers string
	}

	// GateBounds holds the times and shares that the platform states.
	GateBounds struct {
		// DrainTime is how long a leaving server takes new work at most.
		DrainTime time.Duration
		// GraceTime is the time from SIGTERM to SIGKILL.
		GraceTime time.Duration
		// RetryRatio and RetrySlack bound the retries of all VMs in RetryWindow.
		RetryRatio  float64
		RetryWindow time.Duration
		RetrySlack  float64
	}
)

// LoadGate reads and checks the settings file of a gate; its error lists every fault.
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
	s := r.gate()
	r.unknown()
	if err := errors.Join(r.sorted()...); err != nil {
		return GateSettings{}, err
	}
	return s, nil
}

func (r *reader) gate() GateSettings {
	return GateSettings{
		VM: VM{
			Name:   teaselstream.VMID(r.required("VM", "Name", nameForm)),
			Domain: teaselstream.DomainID(r.required("VM", "Domain", nameForm)),
		},
		Listen: GateListen{
			Callers: r.required("Listen", "Callers", addressForm),
			Ready:   r.required("Listen", "Ready", addressForm),
			Metrics: r.optional("Listen", "Metrics", addressForm, ""),
			Peers:   r.optional("Listen", "Peers", addressForm, ""),
		},
		Store: Store{Addresses: r.addresses("Store", "Addresses", true)},
		Log:   Log{Level: r.optional("Log", "Level", choiceForm("debug", "info", "warn", "error"), "info")},
		Bounds: GateBounds{
			DrainTime:   r.duration("Bounds", "DrainTime", defaultDrainTime),
			GraceTime:   r.duration("Bounds", "GraceTime", defaultGraceTime),
			RetryRatio:  r.number("Bounds", "RetryRatio", defaultRetryRatio),
			RetryWindow: r.duration("Bounds", "RetryWindow", defaultRetryWindow),
			RetrySlack:  r.number("Bounds", "RetrySlack", defaultRetrySlack),
		},
	}
}

func (r *reader) number(section, key string, unset float64) float64 {
	v := r.optional(section, key, numberForm, "")
	n, err := strconv.ParseFloat(v, 64)
	if err != nil {
		return unset
	}
	return n
}

var numberForm = form{"a number of 0 or more", func(v string) bool {
	n, err := strconv.ParseFloat(v, 64)
	return err == nil && n >= 0
}}
