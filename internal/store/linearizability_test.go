package store

import (
	"context"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/standin"
)

// registerInput is a read of a register, or a conditional write: it sets the
// value new, which is unique in the history, if the register holds old.
type registerInput struct {
	key      string
	write    bool
	old, new string
}

type registerOutput struct {
	value     string // of a read
	committed bool
	uncertain bool
	failed    bool // any error; nothing was changed unless uncertain is set
}

var registerModel = (&porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, op := range history {
			key := op.Input.(registerInput).key
			byKey[key] = append(byKey[key], op)
		}
		return slices.Collect(maps.Values(byKey))
	},
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		value, in, out := state.(string), input.(registerInput), output.(registerOutput)
		switch {
		case !in.write:
			return keepIf(value, out.value == value)
		case out.uncertain && value == in.old:
			return []any{value, in.new}
		case out.uncertain, out.failed:
			return []any{value}
		case out.committed && value == in.old:
			return []any{in.new}
		default:
			return keepIf(value, !out.committed && value != in.old)
		}
	},
}).ToModel()

func keepIf(value string, ok bool) []any {
	if !ok {
		return nil
	}
	return []any{value}
}

const (
	historyKeys    = 4
	historyStores  = 5
	historyClients = 2  // per store
	historyOps     = 40 // per client
)

// recordHistory runs concurrent clients of several stores on one faulty table,
// and returns their history and the number of uncertain operations.
func recordHistory(t *testing.T, seed uint64, noReadBack bool) (history []porcupine.Operation, uncertain int) {
	t.Helper()
	faults := standin.NewInjector(seed, nil)
	faults.Set(standin.Faults{Delay: time.Millisecond, LoseRequest: 0.05, LoseAnswer: 0.1, LateWrite: 0.1})
	table := standin.NewFaultyTable(standin.NewTable(), faults)
	var clock atomic.Int64
	var mu sync.Mutex
	record := func(client int, in registerInput, out registerOutput, call int64) {
		ret := clock.Add(1)
		if out.uncertain {
			ret = math.MaxInt64 // may still take effect
		}
		mu.Lock()
		defer mu.Unlock()
		if out.uncertain {
			uncertain++
		}
		history = append(history, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: call, Return: ret})
	}
	var wg sync.WaitGroup
	for n := range historyStores {
		opts := testOptions(fmt.Sprint("s", n), seed*100+uint64(n))
		opts.noReadBack = noReadBack
		s := New(table, opts)
		for c := range historyClients {
			client := n*historyClients + c
			wg.Go(func() {
				rng := rand.New(rand.NewPCG(seed, uint64(client)))
				for i := range historyOps {
					runClientOp(s, rng, client, i, &clock, record)
				}
			})
		}
	}
	wg.Wait()
	time.Sleep(time.Minute) // for the transactions of callers that gave up
	return history, uncertain
}

// runClientOp reads a row and in three of four cases writes it on the condition
// that it is unchanged. One caller in ten gives up after 3 ms.
func runClientOp(s *Store, rng *rand.Rand, client, i int, clock *atomic.Int64,
	record func(int, registerInput, registerOutput, int64)) {
	key := fmt.Sprint("k", rng.IntN(historyKeys))
	class := []Class{Claim, Placement}[rng.IntN(2)]
	timeout := time.Minute
	if rng.IntN(10) == 0 {
		timeout = 3 * time.Millisecond
	}
	call := clock.Add(1)
	rows, err := s.Get(context.Background(), Placement, key)
	if err != nil {
		return
	}
	old := string(rows[0].Value)
	record(client, registerInput{key: key}, registerOutput{value: old}, call)
	if rng.IntN(4) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	in := registerInput{key: key, write: true, old: old, new: fmt.Sprintf("%d-%d", client, i)}
	call = clock.Add(1)
	res, err := s.Commit(ctx, class, platform.Txn{
		Conditions: []platform.Condition{{Key: key, Revision: rows[0].Revision}},
		Writes:     []platform.Write{{Key: key, Value: []byte(in.new)}},
	})
	record(client, in, registerOutput{
		committed: res.Committed,
		uncertain: apperr.KindOf(err) == apperr.KindUncertain,
		failed:    err != nil,
	}, call)
}

// Guards against lost updates, updates that take effect twice or late, and wrong
// definite answers when requests and answers of concurrent clients are lost or
// delayed.
func TestLinearizable(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			history, uncertain := recordHistory(t, seed, false)
			if res := porcupine.CheckOperationsTimeout(registerModel, history, 0); res != porcupine.Ok {
				t.Errorf("seed %d: history of %d operations is not linearizable", seed, len(history))
			}
			t.Logf("seed %d: %d operations, %d uncertain", seed, len(history), uncertain)
			if 5*uncertain > len(history) {
				t.Errorf("seed %d: %d of %d operations are uncertain, want at most a fifth", seed, uncertain, len(history))
			}
		})
	}
}

// Guards against a linearizability check that cannot fail: without read-back it
// must find a violation with every seed.
func TestNotLinearizableWithoutReadBack(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			history, _ := recordHistory(t, seed, true)
			if res := porcupine.CheckOperationsTimeout(registerModel, history, 0); res != porcupine.Illegal {
				t.Errorf("seed %d: no violation found in %d operations", seed, len(history))
			}
		})
	}
}
