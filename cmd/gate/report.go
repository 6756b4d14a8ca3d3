package main

import (
	"context"
	"encoding/json"
	"time"

	"github.com/teaselstream/teaselstream"
	"github.com/teaselstream/teaselstream/crash"
	"github.com/teaselstream/teaselstream/quota"
	"github.com/teaselstream/teaselstream/watch"
)

// recordTimeout limits a write of the signatures; the platform specifies 4 ms, and 60 times that while the store is slow.
const recordTimeout = time.Second

func (c *controlLoop) setLimits(parts map[teaselstream.ServerID]quota.Part) {
	c.handler.Limits.Set(time.Now(), parts)
	c.limited = make(map[teaselstream.ServerID]bool, len(parts))
	for id := range parts {
		c.limited[id] = true
	}
}

func (c *controlLoop) logLimit(x quota.LogLimit) {
	if !x.HasLimit {
		c.log.Info("ServerLimitEnded", "server", string(x.Server))
		return
	}
	c.log.Info("ServerLimit", "server", string(x.Server), "perSecond", float64(x.Part.Limit), "part", float64(x.Part.Rate))
}

func (c *controlLoop) logSignature(x crash.LogSignature) {
	if x.Found {
		c.log.Warn("CrashSignatureFound", "traits", x.Signature.Traits, "servers", x.Servers, "begun", x.Begun)
		return
	}
	c.log.Info("CrashSignatureEnded", "traits", x.Signature.Traits)
}

// writeRecord writes the signatures for VMs that start later. If it fails, the tracker tries again with the revision that it
// has read by then.
func (c *controlLoop) writeRecord(x crash.WriteRecord) {
	b, err := json.Marshal(x.Record)
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		_, err = c.store.CompareAndSwap(ctx, watch.CrashRecordKey, x.Revision, b, 0)
	}
	if err != nil {
		c.log.Warn("CrashRecordNotWritten", "error", err, "revision", uint64(x.Revision))
	}
}
