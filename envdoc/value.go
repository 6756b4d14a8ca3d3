package envdoc

import (
	"errors"
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/teaselstream/teaselstream"
)

// valueFormat describes the accepted values of a key and parses them.
type valueFormat[T any] struct {
	accepted string
	parse    func(string) (T, error)
}

var (
	errFormat = errors.New("value is not in the accepted format")

	sizeUnits        = map[string]float64{"B": 1, "KB": 1e3, "MB": 1e6, "GB": 1e9, "TB": 1e12}
	rateUnits        = map[string]float64{"B/s": 1, "KB/s": 1e3, "MB/s": 1e6, "GB/s": 1e9, "TB/s": 1e12}
	requestRateUnits = map[string]float64{"/s": 1}

	text          = valueFormat[string]{"any text that is not empty", func(s string) (string, error) { return s, nil }}
	boolean       = valueFormat[bool]{"true or false", parseBool}
	duration      = valueFormat[time.Duration]{"a positive duration such as 200ms, 5s or 24h", parseDuration}
	size          = valueFormat[teaselstream.Bytes]{"a size such as 400MB (units B, KB, MB, GB, TB)", parseSize}
	rate          = valueFormat[teaselstream.BytesPerSecond]{"a rate such as 10GB/s (units B/s, KB/s, MB/s, GB/s, TB/s)", parseRate}
	requestRate   = valueFormat[teaselstream.RequestsPerSecond]{"a request rate such as 100/s", parsePerSecond}
	layers        = valueFormat[teaselstream.LayerRange]{"a half-open range FROM-TO such as 0-16, with FROM below TO", parseLayers}
	address       = valueFormat[string]{"an IP address and port such as 10.0.0.7:8000", parseAddress}
	digest        = valueFormat[teaselstream.Digest]{"64 lowercase hexadecimal digits of a SHA-256", matching[teaselstream.Digest](isDigest)}
	methodAndPath = valueFormat[string]{"a method and a path prefix such as GET /orders", matching[string](isMethodAndPath)}
	word          = valueFormat[string]{"text without spaces", matching[string](isWord)}
	lookupPath    = valueFormat[string]{"a path with {key} such as /orders/{key}", parseLookupPath}
	positive      = valueFormat[int]{"a whole number of at least 1", parsePositive}
	priority      = valueFormat[int]{"a whole number from 0 to 9", parsePriority}
	weight        = valueFormat[float64]{"a number above 0 such as 2.5", parseWeight}
)

func quote(s string) string { return strconv.Quote(s) }

func formatInt(n int) string { return strconv.Itoa(n) }

// name returns the format of a name: a reference to a section, or a free name such as a domain.
func name[T ~string](accepted string) valueFormat[T] {
	return valueFormat[T]{accepted: accepted, parse: matching[T](isName)}
}

func matching[T ~string](valid func(string) bool) func(string) (T, error) {
	return func(s string) (T, error) {
		if !valid(s) {
			return "", errFormat
		}
		return T(s), nil
	}
}

func choice(values ...string) valueFormat[string] {
	return valueFormat[string]{accepted: strings.Join(values, " or "), parse: func(s string) (string, error) {
		for _, v := range values {
			if s == v {
				return s, nil
			}
		}
		return "", errFormat
	}}
}

func isDigest(s string) bool {
	return len(s) == 64 && strings.Trim(s, "0123456789abcdef") == ""
}

func isWord(s string) bool { return s != "" && !strings.ContainsFunc(s, unicode.IsSpace) }

func isMethodAndPath(s string) bool {
	method, path, ok := strings.Cut(s, " ")
	return ok && method != "" && strings.Trim(method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") == "" && strings.HasPrefix(path, "/") && isWord(path)
}

func parseBool(s string) (bool, error) {
	if s != "true" && s != "false" {
		return false, errFormat
	}
	return s == "true", nil
}

func parseDuration(s string) (time.Duration, error) {
	d, err := time.ParseDuration(s)
	if err != nil || d <= 0 {
		return 0, errFormat
	}
	return d, nil
}

func parseQuantity(s string, units map[string]float64) (float64, error) {
	end := len(s) - len(strings.TrimLeft(s, "0123456789."))
	number := s[:end]
	// ParseFloat also accepts ".5" and "5.", which are more likely typing errors.
	if number == "" || number[0] == '.' || number[end-1] == '.' {
		return 0, errFormat
	}
	unit, ok := units[strings.TrimPrefix(s[end:], " ")]
	n, err := strconv.ParseFloat(number, 64)
	if !ok || err != nil || n*unit > math.MaxInt64/2 {
		return 0, errFormat
	}
	return n * unit, nil
}

func parseSize(s string) (teaselstream.Bytes, error) {
	n, err := parseQuantity(s, sizeUnits)
	return teaselstream.Bytes(math.Round(n)), err
}

func parseRate(s string) (teaselstream.BytesPerSecond, error) {
	n, err := parseQuantity(s, rateUnits)
	if err == nil && n <= 0 {
		err = errFormat
	}
	return teaselstream.BytesPerSecond(n), err
}

func parsePerSecond(s string) (teaselstream.RequestsPerSecond, error) {
	n, err := parseQuantity(s, requestRateUnits)
	if err == nil && n <= 0 {
		err = errFormat
	}
	return teaselstream.RequestsPerSecond(n), err
}

func parseLayers(s string) (teaselstream.LayerRange, error) {
	a, b, ok := strings.Cut(s, "-")
	from, err1 := strconv.ParseUint(a, 10, 20)
	to, err2 := strconv.ParseUint(b, 10, 20)
	if !ok || err1 != nil || err2 != nil || from >= to {
		return teaselstream.LayerRange{}, errFormat
	}
	return teaselstream.LayerRange{From: teaselstream.Layer(from), To: teaselstream.Layer(to)}, nil
}

func parseAddress(s string) (string, error) {
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 {
		return "", errFormat
	}
	return a.String(), nil
}

func parseLookupPath(s string) (string, error) {
	if !strings.HasPrefix(s, "/") || strings.Count(s, "{key}") != 1 || !isWord(s) {
		return "", errFormat
	}
	return s, nil
}

func parsePositive(s string) (int, error) {
	n, err := strconv.Atoi(s)
	if err != nil || n < 1 || s[0] == '+' {
		return 0, errFormat
	}
	return n, nil
}

func parsePriority(s string) (int, error) {
	if len(s) != 1 || s[0] < '0' || s[0] > '9' {
		return 0, errFormat
	}
	return int(s[0] - '0'), nil
}

func parseWeight(s string) (float64, error) {
	n, err := parseQuantity(s, map[string]float64{"": 1})
	if err != nil || n <= 0 {
		return 0, errFormat
	}
	return n, nil
}
