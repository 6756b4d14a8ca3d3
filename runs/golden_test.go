package runs

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/member"
)

// Guards against changes of the protocol that nobody intended; rewrite with go test ./runs -rewrite.
func TestGolden(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var f *Fleet
		var tr *Transcript
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "fleet" {
				c := Config{Seed: 1, Document: lines([]byte(d.Input + "\n"))}
				var traffic int
				d.MaybeScanArgs(t, "vms", &c.VMs)
				d.MaybeScanArgs(t, "domains", &c.Domains)
				d.MaybeScanArgs(t, "traffic", &traffic)
				c.Traffic = time.Duration(traffic) * time.Millisecond
				f = NewFleet(c)
				tr = f.Record()
				return ""
			}
			if err := script(f, d); err != nil {
				d.Fatalf(t, "%v", err)
			}
			switch d.Cmd {
			case "quiet":
				tr.Take()
				return f.Status()
			case "status":
				return f.Status()
			case "placed":
				return f.Placement()
			}
			return tr.Take()
		})
	})
}

// script performs one command of a session.
func script(f *Fleet, d *datadriven.TestData) error {
	arg := func(i int) string {
		if i >= len(d.CmdArgs) {
			return ""
		}
		return d.CmdArgs[i].Key
	}
	vm := f.VM(teaselstream.VMID(arg(0)))
	server := f.Server(teaselstream.ServerID(arg(0)))
	switch d.Cmd {
	case "status":
	case "run", "quiet":
		t, err := time.ParseDuration(arg(0))
		if err != nil {
			return fmt.Errorf("duration: %w", err)
		}
		f.Run(t)
	case "start":
		if vm == nil {
			f.StartAll()
		} else {
			vm.Start()
		}
	case "add":
		f.AddVM(teaselstream.VMID(arg(0)), teaselstream.DomainID(arg(1))).Start()
	case "kill":
		vm.Kill()
	case "stop":
		vm.Stop()
	case "pause":
		t, err := time.ParseDuration(arg(1))
		if err != nil {
			return fmt.Errorf("duration: %w", err)
		}
		vm.Pause(t)
	case "streams":
		_, err := fmt.Sscan(arg(1), &vm.Streams)
		return err
	case "promote":
		f.Promote(Canonical(lines([]byte(d.Input+"\n"))), arg(0) == "trial")
	case "store":
		f.Store.SetDown(arg(0) == "down")
	case "lose-answers":
		_, err := fmt.Sscan(arg(0), &f.Store.LoseAnswers)
		return err
	case "isolate":
		f.Isolate(teaselstream.DomainID(arg(0)), arg(1) == "")
	case "list":
		f.SetList(map[string]ListMode{"true": ListTrue, "empty": ListEmpty, "frozen": ListFrozen, "leaving": ListAllLeaving, "down": ListDown}[arg(0)])
	case "leave":
		server.Leave()
	case "die":
		server.Die()
	case "delay-orders":
		vm.orderDelay = 30 * time.Second
	case "placed":
	case "restart":
		server.Restart()
	case "use":
		vm.post(member.RequestResult{Server: teaselstream.ServerID(arg(1)), OK: arg(2) == "ok", Refused: arg(2) == "refused"})
	default:
		return fmt.Errorf("unknown command %s", strings.TrimSpace(d.Cmd))
	}
	return nil
}
