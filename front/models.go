package front

import (
	"slices"
	"strings"

	"github.com/valyala/fasthttp"
)

type (
	modelList struct {
		Object string      `json:"object"`
		Data   []modelItem `json:"data"`
	}

	modelItem struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
	}
)

// serveModels lists the team's models and their adapters, sorted by name.
func (s *Server) serveModels(c *fasthttp.RequestCtx, r callerInfo) {
	list := modelList{Object: "list", Data: []modelItem{}}
	for name, m := range r.snapshot.Document.Models {
		if len(r.team.Models) > 0 && !slices.Contains(r.team.Models, name) {
			continue
		}
		list.Data = append(list.Data, modelItem{ID: string(name), Object: "model", OwnedBy: "teaselstream"})
		for _, a := range m.Adapters {
			list.Data = append(list.Data, modelItem{ID: string(name) + ":" + a, Object: "model", OwnedBy: "teaselstream"})
		}
	}
	slices.SortFunc(list.Data, func(a, b modelItem) int { return strings.Compare(a.ID, b.ID) })
	writeJSON(c, list)
}
