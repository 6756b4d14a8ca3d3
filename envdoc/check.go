package envdoc

import (
	"fmt"
	"maps"
	"slices"

	"github.com/teaselstream/teaselstream"
)

// index holds the facts about all servers that the checks across sections use.
type index struct {
	domains  map[teaselstream.DomainID]teaselstream.Server
	services map[teaselstream.ServiceID]bool
	held     map[teaselstream.ModelID][]teaselstream.LayerRange
}

// check reports errors that involve several sections: dangling references, duplicates and coverage gaps.
func (p *parser) check() {
	x := p.checkServers()
	p.checkTeams()
	p.checkLinks(x)
	for id, m := range p.doc.Models {
		p.checkCoverage(m, x.held[id])
	}
	for id := range p.doc.Services {
		if !x.services[id] {
			p.addErrorAt(kindService, string(id), "", "no server runs the service", "at least one [Server NAME] with Service = "+string(id))
		}
	}
}

// addErrorAt reports an error at a key of a section; in an incremental parse the line of the section is not known.
func (p *parser) addErrorAt(kind, name, key, problem, accepted string) {
	title := kind + " " + name
	s := p.sectionOf[title]
	if s == nil {
		s = &section{title: title}
	}
	newSectionReader(p.scanner, s).addError(key, problem, accepted)
}

func (p *parser) checkServers() index {
	x := index{
		domains:  map[teaselstream.DomainID]teaselstream.Server{},
		services: map[teaselstream.ServiceID]bool{},
		held:     map[teaselstream.ModelID][]teaselstream.LayerRange{},
	}
	addresses := make(map[string]teaselstream.ServerID, len(p.doc.Servers))
	for _, id := range mapKeys(p.incremental, p.doc.Servers) {
		v := p.doc.Servers[id]
		if v.Model != "" {
			x.held[v.Model] = append(x.held[v.Model], v.Layers)
			p.checkModelOf(v)
		}
		x.services[v.Service] = true
		if _, ok := p.doc.Services[v.Service]; v.Service != "" && !ok {
			p.addErrorAt(kindServer, string(v.Name), "Service", "there is no [Service "+string(v.Service)+"]", "the name of a [Service NAME] section")
		}
		if other, dup := addresses[v.Address]; dup && v.Address != "" {
			p.addErrorAt(kindServer, string(v.Name), "Address", "the server "+string(other)+" has the same address", "a different address for each server")
		}
		addresses[v.Address] = v.Name
		if first, ok := x.domains[v.Domain]; !ok {
			x.domains[v.Domain] = v
		} else if first.Region != v.Region {
			p.addErrorAt(kindServer, string(v.Name), "Region", fmt.Sprintf("the server %s places domain %s in region %q", first.Name, v.Domain, first.Region),
				"one region per failure domain")
		}
	}
	return x
}

func (p *parser) checkModelOf(v teaselstream.Server) {
	m, ok := p.doc.Models[v.Model]
	// An integer product overflows for very large sizes.
	need := float64(m.BytesPerLayer) * float64(v.Layers.Len())
	switch {
	case !ok:
		p.addErrorAt(kindServer, string(v.Name), "Model", "there is no [Model "+string(v.Model)+"]", "the name of a [Model NAME] section")
	case m.Layers > 0 && v.Layers.To > m.Layers:
		p.addErrorAt(kindServer, string(v.Name), "Layers", fmt.Sprintf("the range %s exceeds the model's %d layers", v.Layers, m.Layers),
			fmt.Sprintf("a range within 0-%d", m.Layers))
	case v.Memory > 0 && need > float64(v.Memory):
		p.addErrorAt(kindServer, string(v.Name), "Memory", fmt.Sprintf("the layers %s need %.0f bytes", v.Layers, need),
			"at least BytesPerLayer times the number of layers")
	}
}

func (p *parser) checkTeams() {
	owners := make(map[teaselstream.Digest]teaselstream.TeamID, len(p.doc.Teams))
	for _, id := range mapKeys(p.incremental, p.doc.Teams) {
		t := p.doc.Teams[id]
		for _, m := range t.Models {
			if _, ok := p.doc.Models[m]; !ok {
				p.addErrorAt(kindTeam, string(id), "Models", "there is no [Model "+string(m)+"]", "names of [Model NAME] sections")
			}
		}
		for _, v := range t.Services {
			if _, ok := p.doc.Services[v]; !ok {
				p.addErrorAt(kindTeam, string(id), "Services", "there is no [Service "+string(v)+"]", "names of [Service NAME] sections")
			}
		}
		for _, d := range t.KeyDigests {
			if other, dup := owners[d]; dup {
				p.addErrorAt(kindTeam, string(id), "KeyDigests", "team "+string(other)+" has the same key digest", "different keys for each team")
			}
			owners[d] = id
		}
	}
}

func (p *parser) checkLinks(x index) {
	seen := map[[2]teaselstream.DomainID]bool{}
	for _, l := range p.doc.Links {
		_, names := cutTitle(linkTitle(l))
		for _, d := range []teaselstream.DomainID{l.A, l.B} {
			if _, ok := x.domains[d]; !ok {
				p.addErrorAt(kindLink, names, "", "no server is in domain "+quote(string(d)), "failure domains that servers name as Domain")
			}
		}
		if seen[[2]teaselstream.DomainID{l.B, l.A}] && l.A != l.B {
			p.addErrorAt(kindLink, names, "", "the link stands as [Link "+string(l.B)+" "+string(l.A)+"] already", "each pair of domains once")
		}
		seen[[2]teaselstream.DomainID{l.A, l.B}] = true
	}
}

// mapKeys returns the keys of a map; they are sorted unless unsorted is set, so that errors have the same order in each parse.
func mapKeys[K ~string, V any](unsorted bool, m map[K]V) []K {
	keys := slices.AppendSeq(make([]K, 0, len(m)), maps.Keys(m))
	if !unsorted {
		slices.Sort(keys)
	}
	return keys
}

func linkTitle(l teaselstream.Link) string { return kindLink + " " + string(l.A) + " " + string(l.B) }

// checkCoverage reports the layers of a model that no server holds.
func (p *parser) checkCoverage(m teaselstream.Model, held []teaselstream.LayerRange) {
	malformed := func(r teaselstream.LayerRange) bool { return r.Len() == 0 }
	if m.Layers == 0 || slices.ContainsFunc(held, malformed) {
		// The malformed value is reported already; a gap would be a consequence of it.
		return
	}
	slices.SortFunc(held, func(a, b teaselstream.LayerRange) int { return int(a.From - b.From) })
	// The empty range at the end makes missing layers after the last range a gap as well.
	held = append(held, teaselstream.LayerRange{From: m.Layers, To: m.Layers})
	var next teaselstream.Layer
	for _, h := range held {
		if h.From > next {
			gap := teaselstream.LayerRange{From: next, To: min(h.From, m.Layers)}
			p.addErrorAt(kindModel, string(m.Name), "Layers", "no server holds layers "+gap.String(),
				fmt.Sprintf("[Server NAME] ranges that cover 0-%d", m.Layers))
		}
		next = max(next, h.To)
	}
}
