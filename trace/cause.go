package trace

import (
	"fmt"
	"slices"
	"strings"

	"github.com/teaselstream/teaselstream"
)

// causeOf returns why a request ended, from its lines in order of time.
func causeOf(lines []Line) string {
	for _, x := range slices.Backward(lines) {
		switch x.Event {
		case "RequestRefused":
			return refusalCause(x, lines)
		case "RequestEnded":
			return endCause(x, lines)
		case "CallerLeft":
			return "the caller left before the answer"
		}
	}
	return "the log does not say how the request ended; its VM may have been killed"
}

func refusalCause(x Line, lines []Line) string {
	if r := lastOf(lines, "AnswerReplaced"); r != nil {
		return fmt.Sprintf("server %s answered with status %.0f, which callers take for a promise: %s; the caller got %.0f",
			r.text("server"), r.number("serverStatus"), r.text("reason"), r.number("status"))
	}
	switch teaselstream.Code(x.text("code")) {
	case teaselstream.CodeNoRoute:
		if p := lastOf(lines, "PathNotFound"); p != nil {
			if layers := listOf(p.Fields["uncovered"]); layers != "" {
				return "no server held layers " + layers + " when a path was sought" + storeLostNote(p)
			}
			return "servers held all layers, but those of different failure domains did not reach each other: links cut " + listOf(p.Fields["cut"])
		}
		return x.text("message")
	case teaselstream.CodeOverloaded:
		if servers := refusingServers(lines); servers != "" {
			return fmt.Sprintf("servers had no room and refused it: %s; %s", servers, x.text("message"))
		}
		return x.text("message")
	case teaselstream.CodeServerLost, teaselstream.CodeOutcomeUnknown:
		return "its answer was lost: " + interruptionOf(lines) + "; " + x.text("message")
	case teaselstream.CodeUnauthorized, teaselstream.CodeUnknownService:
		return fmt.Sprintf("%s in generation %.0f of the configuration", x.text("message"), x.number("generation"))
	case teaselstream.CodeDeadlineExceeded:
		return x.text("message") + timeoutDetail(lines)
	default:
		return x.text("message")
	}
}

// timeoutDetail returns what a request that exceeded its deadline was waiting for.
func timeoutDetail(lines []Line) string {
	if x := lastOf(lines, "CallUnanswered"); x != nil {
		if servers := listOf(x.Fields["servers"]); servers != "" {
			return fmt.Sprintf(" after %.0f ms without an answer from %s", x.number("ms"), servers)
		}
		return " before a server was found"
	}
	if interruption := interruptionOf(lines); interruption != "" {
		return ": " + interruption
	}
	return ""
}

func endCause(x Line, lines []Line) string {
	events, pause := x.number("events"), x.number("longestPauseMs")
	switch code := teaselstream.Code(x.text("code")); code {
	case "":
		if interruption := interruptionOf(lines); interruption != "" {
			return fmt.Sprintf("complete, with a pause of %.0f ms: %s", pause, interruption)
		}
		return "complete"
	case teaselstream.CodeCanceled:
		if interruption := interruptionOf(lines); interruption != "" {
			return fmt.Sprintf("the caller left after %.0f events while the stream was held up: %s", events, interruption)
		}
		return fmt.Sprintf("the caller left after %.0f events", events)
	case teaselstream.CodeServerLost:
		text := fmt.Sprintf("the answer was cut after %.0f events: %s", events, interruptionOf(lines))
		if servers := refusingServers(lines); servers != "" {
			text += "; other servers refused it: " + servers
		}
		if reason := x.text("reason"); reason != "" {
			text += "; given up since: " + reason
		}
		return text
	case "PassedOn":
		return fmt.Sprintf("a server's own answer with status %.0f was passed on", x.number("status"))
	default:
		return "ended with code " + string(code)
	}
}

// interruptionOf returns what first interrupted a request: a server that did not answer, or a broken connection.
func interruptionOf(lines []Line) string {
	for _, x := range lines {
		switch {
		case x.Event == "PathProbed" && x.text("stalled") != "":
			return "the part at " + x.text("stalled") + " did not answer"
		case x.Event == "PathProbed" && x.text("error") != "":
			return "server " + x.text("server") + " did not answer a probe"
		case x.Event == "RequestMoved" && x.text("reason") != "":
			return "it was moved: " + x.text("reason")
		case x.Event == "AttemptBroken":
			return "server " + x.text("server") + " broke it off: " + x.text("error")
		case (x.Event == "RequestSentAgain" || x.Event == "CallFailed") && x.text("reason")+x.text("error") != "":
			return x.text("reason") + x.text("error")
		}
	}
	return ""
}

// refusingServers lists the servers that refused a request, with the number of refusals of each.
func refusingServers(lines []Line) string {
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

func storeLostNote(x *Line) string {
	if lost, _ := x.Fields["storeLost"].(bool); lost {
		return ", by a list from before the store was lost"
	}
	return ""
}
