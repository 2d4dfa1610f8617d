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
	"The agent's address is stored in the table, where owners look up agents. No action.")

// Registration is the data of an agent that owners of jobs read from its row.
type Registration struct {
	VM            types.VMID
	Name          string
	Address       string
	FailureDomain types.FailureDomain
	Incarnation   types.Incarnation
	// FirstStart is set if the whole system starts for the first time.
	FirstStart bool
}

const (
	// ownerCheckInterval is the time between checks whether owners still call the
	// agent.
	ownerCheckInterval = 500 * time.Millisecond
	// workerCheckInterval is the time between checks for a worker. A worker
	// announces itself every 1.5 s.
	workerCheckInterval = 100 * time.Millisecond
)

// Registrant is an agent that KeepRegistered registers.
type Registrant interface {
	// WorkerPresent reports whether the agent has a worker that may run tasks.
	WorkerPresent() bool
	// OwnerTimedOut reports whether no owner has called the agent within its
	// timeout. It reports true at most once per timeout.
	OwnerTimedOut() bool
}

// KeepRegistered writes the agent's row once the agent has a worker. When
// OwnerTimedOut returns true it writes the row again, as soon as a worker is present,
// since owners delete the rows of unreachable agents. It returns when the context
// ends.
//
// An agent without a worker has nothing to report, and if its VM failed, a new
// owner would wait for the lease of a worker that does not exist. At the first start
// of the whole system the agent registers at once: candidates for ownership use the
// number of agents to decide whether they have enough CPU to take over at once, and
// no owner has granted a lease yet.
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

// register writes the agent's row and retries until it succeeds or the context
// ends. Failures are not logged: an owner that already knows the address does not
// need the row.
func register(ctx context.Context, table platform.Table, r Registration, log *telemetry.Logger) {
	value := encode(agentRow{Address: r.Address, Name: r.Name, FailureDomain: r.FailureDomain, Incarnation: r.Incarnation})
	pause := tableBackoffMin
	for ctx.Err() == nil {
		_, err := table.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: prefixAgent + string(r.VM), Value: value}}})
		if err == nil {
			log.Log(eventRegistered, nil, telemetry.Fields{"vm": r.VM, "address": r.Address})
			return
		}
		sleep(ctx, jitter(pause))
		pause = min(2*pause, tableBackoffMax)
	}
}
