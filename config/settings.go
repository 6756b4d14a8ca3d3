package config

import (
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	defaultMaxHeader     = 16 << 10
	defaultMaxBody       = 2 << 20
	defaultReadTimeout   = 10 * time.Second
	defaultBalancerDelay = 5 * time.Second
	defaultDrainTimeout  = 2 * time.Minute
	defaultPushPeriod    = 30 * time.Second
)

type (
	// EntrySettings holds the settings of one VM's process.
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

	// VM says who and where the process is.
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

	// List holds the endpoint of the platform's machine list, or nothing.
	List struct {
		Address string
	}

	// Peers holds VMs to contact first and the secret that all VMs share.
	Peers struct {
		Addresses []string
		Secret    Secret
	}

	// Operators holds the key of the operator interface.
	Operators struct {
		Key Secret
	}

	// Secret is a value that is not printed.
	Secret string

	// Log selects the form and the lowest level of the log.
	Log struct {
		Format string
		Level  string
	}

	// Metrics configures the push of metrics over OTLP; an empty address switches it off.
	Metrics struct {
		PushAddress string
		PushPeriod  time.Duration
	}

	// Limits bounds callers' input and the phases of a graceful stop.
	Limits struct {
		// MaxHeaderBytes bounds the request line and headers.
		MaxHeaderBytes int
		MaxBodyBytes   int
		// ReadTimeout bounds the time in which a caller must send a whole request.
		ReadTimeout time.Duration
		// BalancerDelay is how long the listener stays open after readiness fails.
		BalancerDelay time.Duration
		// DrainTimeout bounds the wait for requests in flight.
		DrainTimeout time.Duration
	}
)

// String hides the secret.
func (Secret) String() string { return "(secret)" }

// GoString hides the secret in %#v.
func (Secret) GoString() string { return "(secret)" }

func (r *reader) settings() EntrySettings {
	return EntrySettings{
		VM: VM{
			Name:        teaselstream.VMID(r.required("VM", "Name", nameForm)),
			Domain:      teaselstream.DomainID(r.required("VM", "Domain", nameForm)),
			Region:      teaselstream.RegionID(r.optional("VM", "Region", nameForm, "")),
			Environment: teaselstream.Environment(r.required("VM", "Environment", nameForm)),
		},
		Listen: Listen{
			Callers:   r.required("Listen", "Callers", addressForm),
			Operators: r.required("Listen", "Operators", addressForm),
			Peers:     r.required("Listen", "Peers", addressForm),
		},
		Store: Store{Addresses: r.addresses("Store", "Addresses", true)},
		List:  List{Address: r.optional("List", "Address", addressForm, "")},
		Peers: Peers{
			Addresses: r.addresses("Peers", "Addresses", false),
			Secret:    r.secret("Peers", "Secret"),
		},
		Operators: Operators{Key: r.secret("Operators", "Key")},
		Log: Log{
			Format: r.optional("Log", "Format", choiceForm("text", "json"), "text"),
			Level:  r.optional("Log", "Level", choiceForm("debug", "info", "warn", "error"), "info"),
		},
		Metrics: Metrics{
			PushAddress: r.optional("Metrics", "PushAddress", addressForm, ""),
			PushPeriod:  r.duration("Metrics", "PushPeriod", defaultPushPeriod),
		},
		Limits: Limits{
			MaxHeaderBytes: r.count("Limits", "MaxHeaderBytes", defaultMaxHeader),
			MaxBodyBytes:   r.count("Limits", "MaxBodyBytes", defaultMaxBody),
			ReadTimeout:    r.duration("Limits", "ReadTimeout", defaultReadTimeout),
			BalancerDelay:  r.duration("Limits", "BalancerDelay", defaultBalancerDelay),
			DrainTimeout:   r.duration("Limits", "DrainTimeout", defaultDrainTimeout),
		},
	}
}
