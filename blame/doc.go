// Package blame finds requests whose content crashes backend servers and
// refuses them before they crash more.
//
// The unplanned loss of a server puts the content of every request on it under
// suspicion. A suspect request runs again only with permits for its fingerprint
// and its servers, so that it shares no server with another suspect. If it
// loses a second server at the same point of its answer, its content is refused
// on all VMs; tokens beyond that point clear it.
package blame
