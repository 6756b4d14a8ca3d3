// Package meter holds the OpenTelemetry instruments of a VM: histograms for each
// team and priority class, and counters. They are served in the Prometheus text
// format and, if an address is set, also pushed over OTLP.
package meter
