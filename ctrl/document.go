package ctrl

import (
	"context"
	"fmt"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/envdoc"
	"github.com/teaselstream/teaselstream/spread"
)

// readSlot waits for a change of a slot in the store and returns the message for the state machine.
func readSlot(ctx context.Context, s teaselstream.Store, env teaselstream.Environment, x spread.WatchSlot) spread.SlotRead {
	key := envdoc.ProdKey(env)
	if x.Trial {
		key = envdoc.TrialKey(env)
	}
	m := spread.SlotRead{Trial: x.Trial}
	r, err := s.Watch(ctx, key, x.After)
	if err != nil {
		m.Err = fmt.Errorf("watch slot: %w", err)
		return m
	}
	v, err := envdoc.DecodeSlot(r.Value)
	if err != nil {
		m.Err = err
		return m
	}
	m.Generation, m.Digest, m.Revision = v.Generation, v.Digest, r.Revision
	return m
}

// readBody reads all parts of a document from the store.
func readBody(ctx context.Context, s teaselstream.Store, env teaselstream.Environment, d teaselstream.Digest) ([]byte, error) {
	first, err := s.Get(ctx, envdoc.BodyKey(env, d))
	if err != nil {
		return nil, fmt.Errorf("read document: %w", err)
	}
	n, err := envdoc.FollowingParts(first.Value)
	if err != nil {
		return nil, err
	}
	parts := [][]byte{first.Value}
	for i := 1; i <= n; i++ {
		r, err := s.Get(ctx, envdoc.PartKey(env, d, i))
		if err != nil {
			return nil, fmt.Errorf("read part %d of document: %w", i, err)
		}
		parts = append(parts, r.Value)
	}
	return envdoc.DecodeBody(parts)
}
