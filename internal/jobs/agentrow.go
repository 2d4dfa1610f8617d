package jobs

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

var eventRegistered = telemetry.Define(554, logrus.InfoLevel, "agent registered",
	"The row with the agent's address is in the table, where owners look for agents. No action.")

// Registration is what an agent tells the owners of jobs.
type Registration struct {
	VM            types.VMID
	Name          string
	Address       string
	FailureDomain types.FailureDomain
	Incarnation   types.Incarnation
	// FirstStart: the whole system starts for the first time.
	FirstStart bool
}

const (
	// ownerCheckInterval lies between looks at whether an owner calls the agent.
	ownerCheckInterval = 500 * time.Millisecond
	// workerCheckInterval lies between looks at whether there is a worker, which announces
	// itself every 1.5 s.
	workerCheckInterval = 100 * time.Millisecond
)

// Registrant is the agent whose row is kept.
type Registrant interface {
	// WorkerPresent reports whether the agent has a worker that may run tasks.
	WorkerPresent() bool
	// OwnerTimedOut reports whether no owner has called for a while, once for each while.
	OwnerTimedOut() bool
}

// KeepRegistered writes the agent's row once there is a worker, and again whenever no
// owner has called the agent for a while: an owner deletes the rows of agents out of
// reach. An agent without a worker has nothing to tell, and its row would make the
// next owner wait if the VM goes away. At the first start of the whole system it
// registers at once: candidates for ownership judge by the number of agents whether
// they have processors enough, and no owner has granted a lease yet.
func KeepRegistered(ctx context.Context, table platform.Table, a Registrant, r Registration, log *telemetry.Logger) {
	for first := r.FirstStart; ctx.Err() == nil; first = false {
		for !first && !a.WorkerPresent() && ctx.Err() == nil {
			sleep(ctx, workerCheckInterval)
		}
		register(ctx, table, r, log)
		for ctx.Err() == nil {
			sleep(ctx, jitter(ownerCheckInterval))
			if a.OwnerTimedOut() {
				break
			}
		}
	}
}

// register writes the agent's row, and repeats that until it succeeds or the
// context ends. An owner that knows the address already does not need it.
func register(ctx context.Context, table platform.Table, r Registration, log *telemetry.Logger) {
	value := encode(agentRow{Address: r.Address, Name: r.Name, FailureDomain: r.FailureDomain, Incarnation: r.Incarnation})
	pause := followBackoffMin
	for ctx.Err() == nil {
		_, err := table.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: prefixAgent + string(r.VM), Value: value}}})
		if err == nil {
			log.Log(eventRegistered, nil, telemetry.Fields{"vm": r.VM, "address": r.Address})
			return
		}
		sleep(ctx, jitter(pause))
		pause = min(2*pause, followBackoffMax)
	}
}
