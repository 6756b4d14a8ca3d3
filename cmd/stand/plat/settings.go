package plat

import (
	"fmt"
	"net"
	"regexp"
	"strconv"
)

var (
	// section matches a part of a template that is left out without a value.
	section = regexp.MustCompile(`\{\{#([\w.]+)\}\}(.*?)\{\{/([\w.]+)\}\}`)
	// placeholder matches a value that is always needed.
	placeholder = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
	// current matches the value of the section around it.
	current = regexp.MustCompile(`\{\{\.\}\}`)
)

// ProcessSettings is what the platform fills into the template of the settings of a VM's process.
type ProcessSettings struct {
	Name, Domain string
	// Callers and Ready are "host:port" addresses; the host is the VM's.
	Callers, Ready string
	// Ports are those that the template may use as it likes.
	Ports []int
	Store string
	// RetrySlack is the number of retries that all VMs may make beside those in proportion to the requests.
	RetrySlack int
}

// Fill returns the settings that the platform makes of a template such as deploy/gate.ini. It returns an error if the template needs
// a value that the stand-in does not have.
func (s ProcessSettings) Fill(template string) (string, error) {
	values, err := s.values()
	if err != nil {
		return "", err
	}
	text := section.ReplaceAllStringFunc(template, func(t string) string {
		m := section.FindStringSubmatch(t)
		value, ok := values[m[1]]
		if !ok || m[1] != m[3] {
			return ""
		}
		return current.ReplaceAllLiteralString(m[2], value)
	})
	missing := ""
	text = placeholder.ReplaceAllStringFunc(text, func(t string) string {
		name := placeholder.FindStringSubmatch(t)[1]
		value, ok := values[name]
		if !ok {
			missing = name
		}
		return value
	})
	if missing != "" {
		return "", fmt.Errorf("fill in settings: no value for %s", missing)
	}
	return text, nil
}

func (s ProcessSettings) values() (map[string]string, error) {
	host, _, err := net.SplitHostPort(s.Callers)
	if err != nil {
		return nil, fmt.Errorf("parse address for callers: %w", err)
	}
	values := map[string]string{
		"NodeName": s.Name, "Zone": s.Domain, "Ip": host, "Listen.Frontend": s.Callers, "Listen.Ready": s.Ready,
		"Platform.Address": s.Store, "Bounds.RetrySlack": strconv.Itoa(s.RetrySlack),
	}
	for i, p := range s.Ports {
		values[fmt.Sprint("PortRange.", i)] = strconv.Itoa(p)
	}
	return values, nil
}
