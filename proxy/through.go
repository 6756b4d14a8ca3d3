package proxy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/detour"
	"github.com/teaselstream/teaselstream/fleet"
)

const (
	// maxVMs is the number of VMs that are asked for one exchange.
	maxVMs = 4
	// vmDialTimeout limits the connection to another VM, which is some milliseconds away.
	vmDialTimeout = 150 * time.Millisecond
)

// sendThrough sends a request to a server through another VM, as send describes. It asks another VM only while nothing was sent.
func (h *Handler) sendThrough(ctx context.Context, to *fleet.Member, r reuse, m *outgoingRequest, id teaselstream.AttemptID) (*upstreamResponse, error) {
	if err := h.maySend(time.Now(), to, id); err != nil {
		return nil, err
	}
	err := fmt.Errorf("send to %s: %w: %w", to.ID, errDial, detour.ErrNoVM)
	unreached := 0
	search := h.Detour.Search()
	for range maxVMs {
		vm, ok := search.Next(time.Now())
		if !ok {
			break
		}
		a, sendErr := h.exchangeThrough(ctx, vm, to, r, m, id)
		if sendErr == nil {
			h.Log.Info("SentThroughVM", "request", string(id), "server", string(to.ID), "through", string(vm.Name))
			h.observeNotice(to, a.head, id)
			return a, nil
		}
		h.Log.Info("SendThroughVMFailed", "request", string(id), "server", string(to.ID), "through", string(vm.Name), "error", sendErr.Error(), "notSent", notSent(sendErr))
		err = sendErr
		if errors.Is(err, detour.ErrNotSent) {
			// One VM that does not reach the server may just have lost all servers itself.
			if unreached++; unreached == 2 {
				h.reportUnreachable(to.ID)
				break
			}
		} else if !errors.Is(err, detour.ErrNoVM) {
			break
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, err
}

// exchangeThrough sends a request to a server through one VM. An error wraps detour.ErrNoVM and errDial if the VM did not take it.
func (h *Handler) exchangeThrough(ctx context.Context, vm fleet.Peer, to *fleet.Member, r reuse, m *outgoingRequest, id teaselstream.AttemptID) (*upstreamResponse, error) {
	c, err := (&net.Dialer{Timeout: vmDialTimeout, KeepAlive: -1}).DialContext(ctx, "tcp", vm.Relay)
	if err != nil {
		if ctx.Err() == nil {
			h.Detour.RecordRefusal(time.Now(), vm.Name)
		}
		return nil, fmt.Errorf("connect to VM %s: %w: %w: %w", vm.Name, errDial, detour.ErrNoVM, err)
	}
	u := newServerConn(c, vm.Relay)
	stop := context.AfterFunc(ctx, u.discard)
	a, err := h.roundTrip(u, detourRequest(h.Detour.Self, to, r, m), id)
	if err != nil {
		stop()
		u.discard()
		if !errors.Is(ctx.Err(), context.Canceled) {
			// The VM also closes the connection if the server has broken off; the chooser tells the two apart.
			h.Detour.RecordFailure(time.Now(), vm.Name, to.Address)
		}
		return nil, fmt.Errorf("through VM %s: %w", vm.Name, err)
	}
	err = detour.ResultError(a.header.Get(detour.HeaderResult))
	h.Detour.RecordResult(time.Now(), vm.Name, to.Address, err)
	if err != nil {
		stop()
		u.discard()
		return nil, fmt.Errorf("through VM %s: %w", vm.Name, notTaken(err))
	}
	a.detach = stop
	return a, nil
}

// notTaken returns the error for the answer of a VM that has not sent an exchange.
func notTaken(err error) error {
	if errors.Is(err, detour.ErrWithheld) {
		return fmt.Errorf("%w: %w", ErrWithheld, err)
	}
	return fmt.Errorf("%w: %w", errDial, err)
}

// detourRequest returns a request to a server as it goes to another VM.
func detourRequest(self teaselstream.VMID, to *fleet.Member, r reuse, m *outgoingRequest) *outgoingRequest {
	x := *m
	x.header = make(http.Header, len(m.header))
	for name, values := range m.header {
		if !detour.IsHeader(name) {
			x.header[name] = values
		}
	}
	x.header.Set(detour.HeaderAddress, to.Address)
	x.header.Set(detour.HeaderServer, string(to.ID))
	x.header.Set(detour.HeaderIncarnation, strconv.FormatUint(uint64(to.Incarnation), 10))
	x.header.Set(detour.HeaderConnection, strconv.Itoa(int(r)))
	x.header.Set(detour.HeaderFrom, string(self))
	if m.stream {
		x.header.Set(detour.HeaderStream, "1")
	}
	// An open connection to the VM may go silent, so each exchange has its own.
	x.header.Set("Connection", "close")
	return &x
}
