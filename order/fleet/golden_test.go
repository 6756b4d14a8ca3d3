package fleet

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/order"
)

// session runs a script against a fleet and records messages and commands.
type session struct {
	fleet *Fleet
	out   strings.Builder
	store []StoreOpFault
	sends []SendFault
	down  map[int]bool
}

// Guards against unintended changes in what VMs do and reply in the scripted scenarios. Run with -rewrite to update the
// transcripts.
func TestGolden(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &session{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.out.Reset()
			s.command(t, d)
			if s.fleet != nil {
				for _, v := range s.fleet.InvariantRecorder.Found() {
					fmt.Fprintln(&s.out, v)
				}
			}
			return s.out.String()
		})
	})
}

func (s *session) command(t *testing.T, d *datadriven.TestData) {
	switch d.Cmd {
	case "fleet":
		spec := teaselstream.ServiceSpec{Name: "app", ChecksFencing: d.HasArg("checks"), Timeout: serviceTimeout}
		if d.HasArg("lookup") {
			spec.StatusLookup = "/orders/{key}"
		}
		vms := 2
		d.MaybeScanArgs(t, "vms", &vms)
		s.fleet = New(Config{Start: Start, VMs: vms, Seed: 1, Spec: spec, ServiceTime: 20 * time.Millisecond})
		s.store, s.sends, s.down = nil, nil, map[int]bool{}
		s.fleet.OnStep = s.step
		s.fleet.StoreFault = func(v *VM, write bool) StoreOpFault {
			if s.down[v.Number] {
				return StoreOpFault{Refuse: true}
			}
			return next(&s.store, write)
		}
		s.fleet.SendFault = func(*VM) SendFault { return next(&s.sends, true) }
		s.run(t, "50ms")
		s.out.Reset()
	case "submit":
		var vm, key int
		var body, deadline string
		d.ScanArgs(t, "vm", &vm)
		d.ScanArgs(t, "key", &key)
		d.ScanArgs(t, "deadline", &deadline)
		d.MaybeScanArgs(t, "body", &body)
		s.submit(vm-1, key, d.HasArg("untimed"), body, duration(t, deadline))
	case "store", "service":
		s.setFaults(t, d)
	case "cut":
		s.fleet.SetViews(func(*VM, *VM) bool { return false })
	case "down", "up", "kill", "start", "restart":
		n := number(t, d.CmdArgs[0].Key)
		s.switchVM(d.Cmd, n-1)
	case "pause":
		s.fleet.VMs[number(t, d.CmdArgs[0].Key)-1].Pause(duration(t, d.CmdArgs[1].Key))
	case "run":
		s.run(t, d.CmdArgs[0].Key)
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
}

func (s *session) switchVM(cmd string, n int) {
	v := s.fleet.VMs[n]
	switch cmd {
	case "down", "up":
		s.down[n] = cmd == "down"
	case "kill":
		v.Kill()
		s.fleet.SetViews(nil)
	case "restart":
		// The restart changes no VM's view.
		v.Kill()
		v.Start()
	case "start":
		v.Start()
		s.fleet.SetViews(nil)
	}
}

// setFaults sets the faults of the next store writes or calls to the service.
func (s *session) setFaults(t *testing.T, d *datadriven.TestData) {
	for _, a := range d.CmdArgs {
		e, x := StoreOpFault{}, SendFault{}
		switch a.Key {
		case "lose":
			e.Lose, x.Lose = true, true
		case "refuse":
			e.Refuse, x.Refuse = true, true
		case "hang":
			e.Hang, x.Drop = true, true
		case "delay":
			e.Delay = duration(t, a.Vals[0])
			x.Delay = e.Delay
		}
		if d.Cmd == "store" {
			s.store = append(s.store, e)
		} else {
			s.sends = append(s.sends, x)
		}
	}
}

func (s *session) submit(vm, key int, untimed bool, body string, d time.Duration) {
	now := s.fleet.Queue.Now()
	c := teaselstream.ServiceCall{Method: "POST", Path: "/orders", Key: NewKey(Start, key), Body: []byte(body)}
	if untimed {
		c.Key = "k" + strconv.Itoa(key)
	}
	r := teaselstream.RequestID(fmt.Sprintf("at %v on vm%d", now.Sub(Start), vm+1))
	s.fleet.VMs[vm].Submit(r, c, now.Add(d))
}

func (s *session) run(t *testing.T, d string) {
	s.fleet.Queue.RunUntil(s.fleet.Queue.Now().Add(duration(t, d)))
}

// step records a message and its commands, except ticks and ordinary reads.
func (s *session) step(v *VM, m teaselstream.Msg, out []teaselstream.Cmd) {
	line := describe(m)
	var cmds []string
	for _, c := range out {
		if x := describe(c); x != "" {
			cmds = append(cmds, x)
		}
	}
	if line == "" && len(cmds) == 0 {
		return
	}
	fmt.Fprintf(&s.out, "%v %s %s\n", s.fleet.Queue.Now().Sub(Start), v.Name, line)
	for _, c := range cmds {
		fmt.Fprintf(&s.out, "    %s\n", c)
	}
}

func describe(x any) string {
	switch x := x.(type) {
	case order.Submit:
		return fmt.Sprintf("submit %s", x.Call.Key)
	case order.StoreResult:
		if x.Err != nil && !strings.Contains(x.Err.Error(), "not found") {
			return "store: " + x.Err.Error()
		}
	case order.Answered:
		return fmt.Sprintf("answered claim %d try %d: %d %s %v", x.Claim, x.Try, x.Answer.Status, x.Answer.Body, x.Err)
	case order.LookedUp:
		return fmt.Sprintf("looked up: found %v %v", x.Found, x.Err)
	case order.ForwardReceived:
		return "forward received from " + string(x.Call.From)
	case order.ForwardAnswered:
		return fmt.Sprintf("forward answered: kind %d %s%s", x.Answer.Kind, x.Answer.Code, x.Answer.Body)
	case order.ForwardFailed:
		return "forward failed"
	case order.Write:
		return describeWrite(x)
	case order.Send:
		return fmt.Sprintf("send claim %d try %d until %v", x.Claim, x.Try, x.Until.Sub(Start))
	case order.Reply:
		if x.Err != nil {
			return fmt.Sprintf("reply to call %s: %v", x.Request, x.Err)
		}
		return fmt.Sprintf("reply to call %s: %d %s", x.Request, x.Answer.Status, x.Answer.Body)
	case order.LookUp:
		return fmt.Sprintf("look up with fencing number %d", x.Call.Fencing)
	case order.Forward:
		return "forward to " + string(x.To)
	}
	return ""
}

func describeWrite(w order.Write) string {
	rs, err := order.DecodeRecords(w.Value)
	if err != nil {
		return "write " + w.Key
	}
	var b strings.Builder
	for _, r := range rs {
		fmt.Fprintf(&b, " [claim %d %v by %s/%d]", r.Claim, r.State, r.VM, r.Incarnation)
	}
	return fmt.Sprintf("write %s at revision %d:%s", w.Key, w.Expected, b.String())
}

func next[E any](es *[]E, use bool) E {
	var e E
	if use && len(*es) > 0 {
		e = (*es)[0]
		*es = (*es)[1:]
	}
	return e
}

func number(t *testing.T, s string) int {
	n, err := strconv.Atoi(strings.TrimPrefix(s, "vm"))
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func duration(t *testing.T, s string) time.Duration {
	d, err := time.ParseDuration(s)
	if err != nil {
		t.Fatal(err)
	}
	return d
}
