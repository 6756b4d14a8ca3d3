package kvsim

import (
	"net/http"
	"strconv"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/cmd/stand/reply"
)

func parseLease(s string) (teaselstream.LeaseID, error) {
	if s == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(s, 10, 64)
	return teaselstream.LeaseID(n), err
}

func (h *Handler) grant(w http.ResponseWriter, r *http.Request) {
	if !h.admit(w, r, "", &h.writes) {
		return
	}
	ttl, err := time.ParseDuration(r.URL.Query().Get("ttl"))
	if err != nil || ttl <= 0 {
		reply.Error(w, http.StatusBadRequest, "lease: accepted: ?ttl=DURATION")
		return
	}
	reply.JSON(w, http.StatusOK, struct{ Lease teaselstream.LeaseID }{h.Store.Grant(ttl)})
}

func (h *Handler) keepAlive(w http.ResponseWriter, r *http.Request) {
	if !h.admit(w, r, "", &h.writes) {
		return
	}
	id, err := parseLease(r.PathValue("id"))
	if err != nil || !h.Store.KeepAlive(id) {
		reply.Error(w, http.StatusNotFound, "lease %q has lapsed", r.PathValue("id"))
		return
	}
	reply.JSON(w, http.StatusOK, struct{ Lease teaselstream.LeaseID }{id})
}
