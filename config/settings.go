package config

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxBodyBytes   = 2 << 20
	defaultReadTimeout    = 10 * time.Second
	defaultBalancerDelay  = 5 * time.Second
	defaultDrainTimeout   = 2 * time.Minute
	defaultPushPeriod     = 30 * time.Second
)

type (
	// EntrySettings holds the settings of cmd/entry, the router on its own configuration document.
	EntrySettings struct {
		VM        VM
		Listen    Listen
		Store     Store
		List      List
		Peers     Peers
		Operators Operators
		Log       Log
		Metrics   Metrics
		Limits    Limits
	}

	// VM identifies the process and its location.
	VM struct {
		Name        teaselstream.VMID
		Domain      teaselstream.DomainID
		Region      teaselstream.RegionID
		Environment teaselstream.Environment
	}

	// Listen holds the "IP:port" addresses of the listeners.
	Listen struct {
		Callers   string
		Operators string
		Peers     string
	}

	// Store holds the endpoints of the platform's store.
	Store struct {
		Addresses []string
	}

	// List holds the endpoint of the platform's machine list; it is empty if there is none.
	List struct {
		Address string
	}

	// Peers holds the addresses of the VMs to contact first and the secret that all VMs share.
	Peers struct {
		Addresses []string
		Secret    Secret
	}

	// Operators holds the API key of the operator interface.
	Operators struct {
		Key Secret
	}

	// Secret is a string that is never printed.
	Secret string

	// Log selects the format and the minimum level of the log.
	Log struct {
		Format string
		Level  string
	}

	// Metrics configures the push of metrics over OTLP; an empty address disables it.
	Metrics struct {
		PushAddress string
		PushPeriod  time.Duration
	}

	// Limits bounds callers' input and the phases of a graceful shutdown.
	Limits struct {
		// MaxHeaderBytes bounds the request line and the headers together.
		MaxHeaderBytes int
		MaxBodyBytes   int
		// ReadTimeout is the maximum time for a caller to send a whole request.
		ReadTimeout time.Duration
		// BalancerDelay is how long the listener stays open after the readiness probe starts to fail.
		BalancerDelay time.Duration
		// DrainTimeout is the maximum wait for requests in flight.
		DrainTimeout time.Duration
	}
)

// String hides the secret.
func (Secret) String() string { return "(secret)" }

// GoString hides the secret in %#v.
func (Secret) GoString() string { return "(secret)" }

func (r *reader) entrySettings() EntrySettings {
	return EntrySettings{
		VM: VM{
			Name:        teaselstream.VMID(r.required("VM", "Name", nameFormat)),
			Domain:      teaselstream.DomainID(r.required("VM", "Domain", nameFormat)),
			Region:      teaselstream.RegionID(r.optional("VM", "Region", nameFormat, "")),
			Environment: teaselstream.Environment(r.required("VM", "Environment", nameFormat)),
		},
		Listen: Listen{
			Callers:   r.required("Listen", "Callers", addressFormat),
			Operators: r.required("Listen", "Operators", addressFormat),
			Peers:     r.required("Listen", "Peers", addressFormat),
		},
		Store: Store{Addresses: r.addresses("Store", "Addresses", true)},
		List:  List{Address: r.optional("List", "Address", addressFormat, "")},
		Peers: Peers{
			Addresses: r.addresses("Peers", "Addresses", false),
			Secret:    r.secret("Peers", "Secret"),
		},
		Operators: Operators{Key: r.secret("Operators", "Key")},
		Log: Log{
			Format: r.optional("Log", "Format", choiceFormat("text", "json"), "text"),
			Level:  r.optional("Log", "Level", choiceFormat("debug", "info", "warn", "error"), "info"),
		},
		Metrics: Metrics{
			PushAddress: r.optional("Metrics", "PushAddress", addressFormat, ""),
			PushPeriod:  r.duration("Metrics", "PushPeriod", defaultPushPeriod),
		},
		Limits: Limits{
			MaxHeaderBytes: r.count("Limits", "MaxHeaderBytes", defaultMaxHeaderBytes),
			MaxBodyBytes:   r.count("Limits", "MaxBodyBytes", defaultMaxBodyBytes),
			ReadTimeout:    r.duration("Limits", "ReadTimeout", defaultReadTimeout),
			BalancerDelay:  r.duration("Limits", "BalancerDelay", defaultBalancerDelay),
			DrainTimeout:   r.duration("Limits", "DrainTimeout", defaultDrainTimeout),
		},
	}
}
