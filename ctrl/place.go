package ctrl

import (
	"context"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/place"
)

// place carries out one command of a placement decider and returns the message with its result.
func (c *Control) place(ctx context.Context, x teaselstream.Cmd) teaselstream.Msg {
	switch x := x.(type) {
	case place.Grant:
		id, err := c.o.Store.Grant(ctx, x.TTL)
		return place.Granted{Decider: x.Decider, Lease: id, Err: err}
	case place.KeepAlive:
		err := c.o.Store.KeepAlive(ctx, x.Lease)
		return place.KeptAlive{Decider: x.Decider, Lease: x.Lease, Err: err}
	case place.ReadKey:
		r, err := c.o.Store.Get(ctx, x.Key)
		return place.KeyRead{Decider: x.Decider, Key: x.Key, Record: r, Err: err}
	case place.WriteKey:
		r, err := c.o.Store.CompareAndSwap(ctx, x.Key, x.Expected, x.Value, x.Lease)
		return place.KeyWritten{Decider: x.Decider, Key: x.Key, Revision: r, Err: err}
	case place.SendOrder:
		err := c.o.Engine.Order(ctx, x.Address, x.Order)
		return place.OrderSent{Decider: x.Decider, Server: x.Server, Fencing: x.Order.Fencing, Err: err}
	case place.ReadOrders:
		o, err := c.o.Engine.Orders(ctx, x.Address)
		return place.OrdersRead{Decider: x.Decider, Server: x.Server, Order: o, Err: err}
	}
	return nil
}
