// Package envdoc parses, validates, compares and encodes environment
// documents, and implements the put, try and promote operations on them.
//
// An environment document is INI text that lists the models, teams, services,
// servers and links of one environment. [Parse] validates the whole document
// and reports every error at once. [Canonical] returns the normalized text
// whose SHA-256 digest identifies the document. [Promotion] is the state
// machine of the operations.
package envdoc
