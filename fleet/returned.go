package fleet

import "github.com/teaselstream/teaselstream"

// The causes of Returned.
const (
	// HasStarted means that a plain replica has been listed after the first list, or again after a restart.
	HasStarted ReturnCause = iota
	// AnswersAgain means that a server that was down answers.
	AnswersAgain
	// HoldsNewLayers means that a model server holds layers that it did not hold before.
	HoldsNewLayers
)

// ReturnCause says why a server takes work again.
type ReturnCause uint8

// returned notes that a server takes work that did not before. The servers of the first list, and those that another VM or the store
// does not know as started, run already.
func (c *Core) returned(r *memberRecord, cause ReturnCause) {
	if c.listed && r.State == Serving {
		c.returns = append(c.returns, Returned{Server: r.ID, Incarnation: r.Incarnation, Cause: cause})
	}
}

// startedPlain notes a plain replica that has started. A model server takes no work until it holds layers.
func (c *Core) startedPlain(r *memberRecord) {
	if c.routing == nil {
		return
	}
	if p := c.routing.Pools[r.Service]; p != nil && p.Engine == nil {
		c.returned(r, HasStarted)
	}
}

// compareHolds notes a model server that holds layers which it did not hold before.
func (c *Core) compareHolds(r *memberRecord, before teaselstream.LayerRange) {
	if r.Holds != before && !r.Holds.Empty() && !r.Holds.Within(before) {
		c.returned(r, HoldsNewLayers)
	}
}

// takeReturns returns the commands about servers that take work again since the last call.
func (c *Core) takeReturns() []teaselstream.Cmd {
	var cmds []teaselstream.Cmd
	for _, r := range c.returns {
		cmds = append(cmds, r)
	}
	c.returns = nil
	return cmds
}

func (c *Core) applyShare(m ShareFound) {
	r := c.members[m.Server]
	if r == nil {
		return
	}
	share := m.Share
	if share >= 1 || share <= 0 {
		share = 0
	}
	c.dirty = c.dirty || share != r.Share
	r.Share = share
}
