package app

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/wire"
	"google.golang.org/protobuf/proto"
)

// headerBytes is the approximate size of the HTTP headers of a renewal and its
// response.
const headerBytes = 450

// renewalLoad simulates agents that renew, and counts the bytes that they send
// and receive.
type renewalLoad struct {
	bytes atomic.Int64
}

// startRenewals simulates a number of agents that renew every half second with
// 21 tasks each, until the returned function is called.
func startRenewals(ctx context.Context, control string, agents int) (*renewalLoad, func()) {
	ctx, cancel := context.WithCancel(ctx)
	load := &renewalLoad{}
	client := wire.NewEntryClient(common.NewRPCClient(), "http://"+control)
	var renewers sync.WaitGroup
	for i := range agents {
		renewers.Go(func() { load.renew(ctx, client, i) })
	}
	return load, func() {
		cancel()
		renewers.Wait()
	}
}

func (rl *renewalLoad) renew(ctx context.Context, client wire.EntryClient, agent int) {
	q := &wire.RenewRequest{
		Session: fmt.Sprintf("agent-%d-0123456789ab", agent), Worker: fmt.Sprintf("agent-%d", agent), Domain: "haskovo", Rack: "r1", Service: "booking-desk",
		ControlAddress: "127.0.0.1:1", RequestAddress: "127.0.0.1:1", Total: &wire.Size{CpuMilli: 12000, MemoryMb: 49152}, Free: &wire.Size{CpuMilli: 1000, MemoryMb: 1024},
		Load: &wire.Load{Slots: 8, ServiceUs: 4000}, Revision: 1,
	}
	const tasks = 21
	for n := range uint32(tasks) {
		q.Running = append(q.Running, &wire.TaskRef{Job: fmt.Sprintf("nightly-audit-%06d", agent), Index: n, Attempt: 1})
	}
	ticker := time.NewTicker(500 * time.Millisecond)
	defer ticker.Stop()
	for {
		response, err := client.Renew(ctx, connect.NewRequest(q))
		if err == nil {
			rl.bytes.Add(int64(proto.Size(q) + proto.Size(response.Msg) + headerBytes))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
