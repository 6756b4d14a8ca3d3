package config

import (
	"maps"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// valueFormat describes and checks the accepted values of a key.
type valueFormat struct {
	accepted string
	valid    func(string) bool
}

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

	nameFormat     = valueFormat{"1 to 63 letters, digits, '.', '_' or '-'", namePattern.MatchString}
	addressFormat  = valueFormat{"an IP address and port such as 127.0.0.1:8080", validAddress}
	listFormat     = valueFormat{"IP addresses with ports, separated by commas", nil}
	durationFormat = valueFormat{"a positive duration such as 500ms or 10s", validDuration}
	countFormat    = valueFormat{"a whole number above 0", validCount}
)

func choiceFormat(values ...string) valueFormat {
	return valueFormat{strings.Join(values, " or "), func(v string) bool { return slices.Contains(values, v) }}
}

func validAddress(v string) bool {
	_, err := netip.ParseAddrPort(v)
	return err == nil
}

func validDuration(v string) bool {
	d, err := time.ParseDuration(v)
	return err == nil && d > 0
}

func validCount(v string) bool {
	n, err := strconv.Atoi(v)
	return err == nil && n > 0
}

func sortedKeys(m map[string][]string) []string { return slices.Sorted(maps.Keys(m)) }
