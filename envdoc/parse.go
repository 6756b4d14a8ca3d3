package envdoc

import (
	"slices"
	"strings"
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	defaultMaxPromptBytes = teaselstream.Bytes(1e6)
	defaultMaxTokens      = 4096
	defaultDeadline       = 2 * time.Minute
	defaultRetention      = 24 * time.Hour
	defaultQueueTime      = 10 * time.Second
	defaultTimeout        = 30 * time.Second
	defaultMaxAnswerBytes = teaselstream.Bytes(1e6)
	defaultMaxConcurrent  = 16
)

// parser builds a document from sections and records their lines for the checks across sections.
type parser struct {
	*scanner
	doc       *teaselstream.Document
	sectionOf map[string]*section
	// incremental is true in an incremental parse, where any error makes the caller parse the full text.
	incremental bool
}

// Parse parses and validates a document; its error is of type [ParseErrors] and lists every error.
//
// The document's Digest is that of its canonical text. Generation stays 0.
func Parse(file string, data []byte) (*teaselstream.Document, error) {
	p := &parser{
		scanner: scan(file, data),
		doc: &teaselstream.Document{
			Models:   map[teaselstream.ModelID]teaselstream.Model{},
			Teams:    map[teaselstream.TeamID]teaselstream.Team{},
			Services: map[teaselstream.ServiceID]teaselstream.ServiceSpec{},
			Servers:  map[teaselstream.ServerID]teaselstream.Server{},
			Limits: teaselstream.Limits{
				MaxPromptBytes: defaultMaxPromptBytes, MaxTokens: defaultMaxTokens, DefaultDeadline: defaultDeadline,
				OrderRetention: defaultRetention, QueueTime: defaultQueueTime,
			},
		},
		sectionOf: map[string]*section{},
	}
	for _, s := range p.sections {
		p.sectionOf[s.title] = s
		p.read(s)
	}
	if p.sectionOf[kindEnvironment] == nil {
		p.addError(nil, 1, "", "the section [Environment] is missing", "[Environment] with the key Name")
	}
	sortLinks(p.doc.Links)
	p.check()
	if err := p.errs.sortedOrNil(); err != nil {
		return nil, err
	}
	p.doc.Digest = DigestOf(canonical(p.sections))
	return p.doc, nil
}

// sortLinks puts links in an order that does not depend on their order in the text.
func sortLinks(links []teaselstream.Link) {
	slices.SortFunc(links, func(a, b teaselstream.Link) int { return strings.Compare(linkTitle(a), linkTitle(b)) })
}

func (p *parser) read(s *section) {
	r := newSectionReader(p.scanner, s)
	switch s.kind {
	case kindEnvironment:
		p.doc.Environment = required(r, "Name", name[teaselstream.Environment](acceptedName))
	case kindLimits:
		p.doc.Limits = readLimits(r)
	case kindModel:
		m := readModel(r)
		p.doc.Models[m.Name] = m
	case kindTeam:
		t := readTeam(r)
		p.doc.Teams[t.Name] = t
	case kindService:
		v := readService(r)
		p.doc.Services[v.Name] = v
	case kindServer:
		v := readServer(r)
		p.doc.Servers[v.Name] = v
	case kindLink:
		p.doc.Links = append(p.doc.Links, readLink(r))
	}
	r.reportUnknownKeys()
}

func readLimits(r *sectionReader) teaselstream.Limits {
	return teaselstream.Limits{
		MaxPromptBytes:  optional(r, "MaxPromptBytes", size, defaultMaxPromptBytes),
		MaxTokens:       optional(r, "MaxTokens", positive, defaultMaxTokens),
		DefaultDeadline: optional(r, "DefaultDeadline", duration, defaultDeadline),
		OrderRetention:  optional(r, "OrderRetention", duration, defaultRetention),
		QueueTime:       optional(r, "QueueTime", duration, defaultQueueTime),
	}
}

func readModel(r *sectionReader) teaselstream.Model {
	return teaselstream.Model{
		Name:            teaselstream.ModelID(r.names[0]),
		Layers:          teaselstream.Layer(required(r, "Layers", positive)),
		Version:         optional(r, "Version", word, ""),
		Adapters:        optionalList(r, "Adapters", word),
		BytesPerLayer:   optional(r, "BytesPerLayer", size, 0),
		ActivationBytes: optional(r, "ActivationBytes", size, 0),
		CanaryPrompt:    optional(r, "CanaryPrompt", text, ""),
	}
}

func readTeam(r *sectionReader) teaselstream.Team {
	if !r.has("KeyDigests") {
		r.addError("KeyDigests", "the key is missing", digest.accepted)
	}
	t := teaselstream.Team{
		Name:       teaselstream.TeamID(r.names[0]),
		KeyDigests: optionalList(r, "KeyDigests", digest),
		Share:      teaselstream.Share(optional(r, "Share", weight, 1)),
		Priority:   teaselstream.Priority(optional(r, "Priority", priority, 0)),
		Worth:      teaselstream.Worth(optional(r, "Worth", weight, 1)),
		Rate:       optional(r, "Rate", requestRate, 0),
		Models:     optionalList(r, "Models", name[teaselstream.ModelID](acceptedName)),
		Services:   optionalList(r, "Services", name[teaselstream.ServiceID](acceptedName)),
	}
	t.MaxPriority = teaselstream.Priority(optional(r, "MaxPriority", priority, int(t.Priority)))
	if t.MaxPriority < t.Priority {
		r.addError("MaxPriority", "the value is below Priority", "a whole number from Priority to 9")
	}
	return t
}

func readService(r *sectionReader) teaselstream.ServiceSpec {
	return teaselstream.ServiceSpec{
		Name:            teaselstream.ServiceID(r.names[0]),
		Idempotent:      optionalList(r, "Idempotent", methodAndPath),
		StatusLookup:    optional(r, "StatusLookup", lookupPath, ""),
		ChecksFencing:   optional(r, "ChecksFencing", boolean, false),
		KeyTimeOptional: optional(r, "KeyTime", choice("Required", "Optional"), "Required") == "Optional",
		Timeout:         optional(r, "Timeout", duration, defaultTimeout),
		MaxAnswerBytes:  optional(r, "MaxAnswerBytes", size, defaultMaxAnswerBytes),
	}
}

func readServer(r *sectionReader) teaselstream.Server {
	v := teaselstream.Server{
		Name:          teaselstream.ServerID(r.names[0]),
		Kind:          teaselstream.ServerKind(required(r, "Kind", choice("Model", "Service"))),
		Domain:        required(r, "Domain", name[teaselstream.DomainID](acceptedName)),
		Region:        optional(r, "Region", name[teaselstream.RegionID](acceptedName), ""),
		Address:       required(r, "Address", address),
		MaxConcurrent: optional(r, "MaxConcurrent", positive, defaultMaxConcurrent),
		ChecksFencing: optional(r, "ChecksFencing", boolean, false),
		Key:           optional(r, "Key", word, ""),
	}
	switch v.Kind {
	case teaselstream.KindModel:
		v.Model = required(r, "Model", name[teaselstream.ModelID]("the name of a [Model NAME] section"))
		v.Accelerator = required(r, "Accelerator", name[teaselstream.Accelerator](acceptedName))
		v.Accelerators = optional(r, "Accelerators", positive, 1)
		v.Layers = required(r, "Layers", layers)
		v.TimePerLayer = required(r, "TimePerLayer", duration)
		v.Memory = optional(r, "Memory", size, 0)
	case teaselstream.KindService:
		v.Service = required(r, "Service", name[teaselstream.ServiceID]("the name of a [Service NAME] section"))
	default:
		// An invalid kind does not tell which of these keys the server may have, so none is reported as unknown.
		r.knownKeys = append(r.knownKeys, "Model", "Service", "Accelerator", "Accelerators", "Layers", "TimePerLayer", "Memory")
	}
	return v
}

func readLink(r *sectionReader) teaselstream.Link {
	return teaselstream.Link{
		A:       teaselstream.DomainID(r.names[0]),
		B:       teaselstream.DomainID(r.names[1]),
		Rate:    required(r, "Rate", rate),
		Latency: required(r, "Latency", duration),
	}
}
