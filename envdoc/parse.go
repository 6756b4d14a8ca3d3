package envdoc

import (
	"slices"
	"strings"
	"time"

	"github.com/teaselstream/teaselstream"
)

const (
	defaultMaxPrompt   = teaselstream.Bytes(1e6)
	defaultMaxTokens   = 4096
	defaultDeadline    = 2 * time.Minute
	defaultRetention   = 24 * time.Hour
	defaultQueueTime   = 10 * time.Second
	defaultTimeout     = 30 * time.Second
	defaultMaxAnswer   = teaselstream.Bytes(1e6)
	defaultConcurrency = 16
)

// parser fills a document from sections and keeps their positions for the checks across sections.
type parser struct {
	*scanner
	doc       *teaselstream.Document
	sectionOf map[string]*section
	// amending is true in an incremental parse, whose faults only make the caller parse the whole text.
	amending bool
}

// Parse reads and checks a document; its error is of type [ParseErrors] and lists every fault.
//
// The document's Digest is that of its canonical form; Generation is left 0.
func Parse(file string, data []byte) (*teaselstream.Document, error) {
	p := &parser{
		scanner: scan(file, data),
		doc: &teaselstream.Document{
			Models:   map[teaselstream.ModelID]teaselstream.Model{},
			Teams:    map[teaselstream.TeamID]teaselstream.Team{},
			Services: map[teaselstream.ServiceID]teaselstream.ServiceSpec{},
			Servers:  map[teaselstream.ServerID]teaselstream.Server{},
			Limits: teaselstream.Limits{
				MaxPromptBytes: defaultMaxPrompt, MaxTokens: defaultMaxTokens, DefaultDeadline: defaultDeadline,
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
		p.fault(nil, 1, "", "the section [Environment] is missing", "[Environment] with the key Name")
	}
	sortLinks(p.doc.Links)
	p.check()
	if err := p.faults.errorOrNil(); err != nil {
		return nil, err
	}
	p.doc.Digest = DigestOf(canonical(p.sections))
	return p.doc, nil
}

// sortLinks gives links an order that does not depend on that of the text.
func sortLinks(links []teaselstream.Link) {
	slices.SortFunc(links, func(a, b teaselstream.Link) int { return strings.Compare(linkTitle(a), linkTitle(b)) })
}

func (p *parser) read(s *section) {
	r := newReader(p.scanner, s)
	switch s.kind {
	case kindEnvironment:
		p.doc.Environment = need(r, "Name", name[teaselstream.Environment](acceptedName))
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
	r.finish()
}

func readLimits(r *reader) teaselstream.Limits {
	return teaselstream.Limits{
		MaxPromptBytes:  opt(r, "MaxPromptBytes", size, defaultMaxPrompt),
		MaxTokens:       opt(r, "MaxTokens", positive, defaultMaxTokens),
		DefaultDeadline: opt(r, "DefaultDeadline", duration, defaultDeadline),
		OrderRetention:  opt(r, "OrderRetention", duration, defaultRetention),
		QueueTime:       opt(r, "QueueTime", duration, defaultQueueTime),
	}
}

func readModel(r *reader) teaselstream.Model {
	return teaselstream.Model{
		Name:            teaselstream.ModelID(r.names[0]),
		Layers:          teaselstream.Layer(need(r, "Layers", positive)),
		Version:         opt(r, "Version", word, ""),
		Adapters:        list(r, "Adapters", word),
		BytesPerLayer:   opt(r, "BytesPerLayer", size, 0),
		ActivationBytes: opt(r, "ActivationBytes", size, 0),
		CanaryPrompt:    opt(r, "CanaryPrompt", text, ""),
	}
}

func readTeam(r *reader) teaselstream.Team {
	if !r.has("KeyDigests") {
		r.fault("KeyDigests", "the key is missing", digest.accepted)
	}
	t := teaselstream.Team{
		Name:       teaselstream.TeamID(r.names[0]),
		KeyDigests: list(r, "KeyDigests", digest),
		Share:      teaselstream.Share(opt(r, "Share", weight, 1)),
		Priority:   teaselstream.Priority(opt(r, "Priority", priority, 0)),
		Worth:      teaselstream.Worth(opt(r, "Worth", weight, 1)),
		Rate:       opt(r, "Rate", perSec, 0),
		Models:     list(r, "Models", name[teaselstream.ModelID](acceptedName)),
		Services:   list(r, "Services", name[teaselstream.ServiceID](acceptedName)),
	}
	t.MaxPriority = teaselstream.Priority(opt(r, "MaxPriority", priority, int(t.Priority)))
	if t.MaxPriority < t.Priority {
		r.fault("MaxPriority", "the value is below Priority", "a whole number from Priority to 9")
	}
	return t
}

func readService(r *reader) teaselstream.ServiceSpec {
	return teaselstream.ServiceSpec{
		Name:            teaselstream.ServiceID(r.names[0]),
		Idempotent:      list(r, "Idempotent", call),
		StatusLookup:    opt(r, "StatusLookup", lookup, ""),
		ChecksFencing:   opt(r, "ChecksFencing", boolean, false),
		KeyTimeOptional: opt(r, "KeyTime", choice("Required", "Optional"), "Required") == "Optional",
		Timeout:         opt(r, "Timeout", duration, defaultTimeout),
		MaxAnswerBytes:  opt(r, "MaxAnswerBytes", size, defaultMaxAnswer),
	}
}

func readServer(r *reader) teaselstream.Server {
	v := teaselstream.Server{
		Name:          teaselstream.ServerID(r.names[0]),
		Kind:          teaselstream.ServerKind(need(r, "Kind", choice("Model", "Service"))),
		Domain:        need(r, "Domain", name[teaselstream.DomainID](acceptedName)),
		Region:        opt(r, "Region", name[teaselstream.RegionID](acceptedName), ""),
		Address:       need(r, "Address", address),
		MaxConcurrent: opt(r, "MaxConcurrent", positive, defaultConcurrency),
		ChecksFencing: opt(r, "ChecksFencing", boolean, false),
		Key:           opt(r, "Key", word, ""),
	}
	switch v.Kind {
	case teaselstream.KindModel:
		v.Model = need(r, "Model", name[teaselstream.ModelID]("the name of a [Model NAME] section"))
		v.Accelerator = need(r, "Accelerator", name[teaselstream.Accelerator](acceptedName))
		v.Accelerators = opt(r, "Accelerators", positive, 1)
		v.Layers = need(r, "Layers", layers)
		v.TimePerLayer = need(r, "TimePerLayer", duration)
		v.Memory = opt(r, "Memory", size, 0)
	case teaselstream.KindService:
		v.Service = need(r, "Service", name[teaselstream.ServiceID]("the name of a [Service NAME] section"))
	default:
		// Without a kind it is not known which of these keys belong to the server.
		r.known = append(r.known, "Model", "Service", "Accelerator", "Accelerators", "Layers", "TimePerLayer", "Memory")
	}
	return v
}

func readLink(r *reader) teaselstream.Link {
	return teaselstream.Link{
		A:       teaselstream.DomainID(r.names[0]),
		B:       teaselstream.DomainID(r.names[1]),
		Rate:    need(r, "Rate", rate),
		Latency: need(r, "Latency", duration),
	}
}
