package trace

import (
	"fmt"
	"slices"
	"strings"

	"github.com/teaselstream/teaselstream"
)

// cause names why a request ended, from its lines in order.
func cause(lines []Line) string {
	for _, x := range slices.Backward(lines) {
		switch x.Event {
		case "RequestRefused":
			return refusal(x, lines)
		case "RequestEnded":
			return ending(x, lines)
		case "CallerLeft":
			return "the caller left before the answer"
		}
	}
	return "the log does not say how the request ended; its VM may have been killed"
}

func refusal(x Line, lines []Line) string {
	switch teaselstream.Code(x.text("code")) {
	case teaselstream.CodeNoRoute:
		if p := lastOf(lines, "PathNotFound"); p != nil {
			if layers := listOf(p.Fields["uncovered"]); layers != "" {
				return "no server held layers " + layers + " when a path was sought" + storeNote(p)
			}
			return "servers held all layers, but those of different failure domains did not reach each other: links cut " + listOf(p.Fields["cut"])
		}
		return x.text("message")
	case teaselstream.CodeOverloaded:
		if faults := faultsOf(lines); faults != "" {
			return fmt.Sprintf("servers had no room and refused it: %s; %s", faults, x.text("message"))
		}
		return x.text("message")
	case teaselstream.CodeServerLost, teaselstream.CodeOutcomeUnknown:
		return "its answer was lost: " + lossOf(lines) + "; " + x.text("message")
	case teaselstream.CodeUnauthorized, teaselstream.CodeUnknownService:
		return fmt.Sprintf("%s in generation %.0f of the configuration", x.text("message"), x.number("generation"))
	case teaselstream.CodeDeadlineExceeded:
		return x.text("message") + waitingFor(lines)
	default:
		return x.text("message")
	}
}

// waitingFor says what a request whose time was up waited for.
func waitingFor(lines []Line) string {
	if x := lastOf(lines, "CallUnanswered"); x != nil {
		if servers := listOf(x.Fields["servers"]); servers != "" {
			return fmt.Sprintf(" after %.0f ms without an answer from %s", x.number("ms"), servers)
		}
		return " before a server was found"
	}
	if loss := lossOf(lines); loss != "" {
		return ": " + loss
	}
	return ""
}

func ending(x Line, lines []Line) string {
	events, pause := x.number("events"), x.number("longestPauseMs")
	switch code := teaselstream.Code(x.text("code")); code {
	case "":
		if loss := lossOf(lines); loss != "" {
			return fmt.Sprintf("complete, with a pause of %.0f ms: %s", pause, loss)
		}
		return "complete"
	case teaselstream.CodeCanceled:
		if loss := lossOf(lines); loss != "" {
			return fmt.Sprintf("the caller left after %.0f events while the stream was held up: %s", events, loss)
		}
		return fmt.Sprintf("the caller left after %.0f events", events)
	case teaselstream.CodeServerLost:
		text := fmt.Sprintf("the answer was cut after %.0f events: %s", events, lossOf(lines))
		if faults := faultsOf(lines); faults != "" {
			text += "; other servers refused it: " + faults
		}
		return text
	case "PassedOn":
		return fmt.Sprintf("a server's own answer with status %.0f was passed on", x.number("status"))
	default:
		return "ended with code " + string(code)
	}
}

// lossOf says what held a request up first: a server that did not answer, or a broken connection.
func lossOf(lines []Line) string {
	for _, x := range lines {
		switch {
		case x.Event == "PathProbed" && x.text("stalled") != "":
			return "the part at " + x.text("stalled") + " did not answer"
		case x.Event == "PathProbed" && x.text("error") != "":
			return "server " + x.text("server") + " did not answer a probe"
		case x.Event == "RequestMoved" && x.text("reason") != "":
			return "it was moved: " + x.text("reason")
		case (x.Event == "RequestSentAgain" || x.Event == "CallFailed") && x.text("reason")+x.text("error") != "":
			return x.text("reason") + x.text("error")
		}
	}
	return ""
}

// faultsOf lists the servers that refused a request, with how often each did.
func faultsOf(lines []Line) string {
	var names []string
	counts := make(map[string]int)
	for _, x := range lines {
		if x.Event != "AttemptRefused" {
			continue
		}
		name := x.text("fault")
		if name == "" {
			name = x.text("server")
		}
		if counts[name] == 0 {
			names = append(names, name)
		}
		counts[name]++
	}
	for i, name := range names {
		names[i] = fmt.Sprintf("%s (%d times)", name, counts[name])
	}
	return strings.Join(names, ", ")
}

func lastOf(lines []Line, event string) *Line {
	for i := len(lines) - 1; i >= 0; i-- {
		if lines[i].Event == event {
			return &lines[i]
		}
	}
	return nil
}

func listOf(v any) string {
	items, _ := v.([]any)
	var out []string
	for _, x := range items {
		out = append(out, textOf(x))
	}
	return strings.Join(out, ", ")
}

func storeNote(x *Line) string {
	if lost, _ := x.Fields["storeLost"].(bool); lost {
		return ", by a list from before the store was lost"
	}
	return ""
}
