package owner

import (
	"context"

	"github.com/twitchtv/twirp"

	"github.com/boragecrank/boragecrank/internal/core/membership"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/wire/convert"
	"github.com/boragecrank/boragecrank/internal/wire/wirepb"
)

// ownerService serves wirepb.OwnerService.
type ownerService struct {
	h *Host
}

var errNotOwner = twirp.NewError(twirp.FailedPrecondition, "this worker is neither the owner of the shard nor, for a read of its members, the relay; read the lease row again")

// Notify implements wirepb.OwnerService: it immediately reads the rows of the
// given keys.
func (r ownerService) Notify(ctx context.Context, req *wirepb.NotifyRequest) (*wirepb.NotifyResponse, error) {
	var t *term
	if err := r.h.state.Do(func(s *hostState) { t = s.term }); err != nil || t == nil || types.ShardID(req.GetShard()) != r.h.opts.Shard {
		return nil, errNotOwner
	}
	rows, err := r.h.opts.Table.Get(ctx, req.GetKeys()...)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, "the table does not answer; the owner will read the rows when it answers again")
	}
	err = r.h.state.Do(func(s *hostState) {
		if s.term != t {
			return
		}
		for _, row := range tableRows(rows) {
			if row.Revision != 0 {
				t.machine.Submit(row)
			}
		}
		s.poll(r.h.node.Clock())
	})
	if err != nil {
		return nil, errNotOwner
	}
	return &wirepb.NotifyResponse{Epoch: uint64(t.epoch)}, nil
}

// Members implements wirepb.OwnerService.
func (r ownerService) Members(_ context.Context, req *wirepb.MembersRequest) (*wirepb.MembersResponse, error) {
	var resp *wirepb.MembersResponse
	err := r.h.state.Do(func(s *hostState) { resp = s.membersSince(req) })
	if err != nil || resp == nil {
		return nil, errNotOwner
	}
	return resp, nil
}

func (s *hostState) membersSince(req *wirepb.MembersRequest) *wirepb.MembersResponse {
	src, detector := s.source()
	if detector == nil || types.ShardID(req.GetShard()) != src.Shard {
		return nil
	}
	since := req.GetSince()
	if types.Incarnation(req.GetIncarnation()) != src.Incarnation {
		// Versions of another incarnation are not comparable. All members are sent.
		since = 0
	}
	delta := detector.Delta(src, since)
	resp := &wirepb.MembersResponse{
		Shard:       string(src.Shard),
		Incarnation: uint64(src.Incarnation),
		Epoch:       uint64(src.Epoch),
		Relay:       src.Role == membership.RoleRelay,
		Appointment: src.Appointment,
		Version:     delta.Digest.Version,
		Hash:        delta.Digest.Hash,
		Since:       delta.Since,
	}
	for _, e := range delta.States {
		resp.Members = append(resp.Members, s.memberToWire(e))
	}
	return resp
}

func (s *hostState) memberToWire(e membership.MemberState) *wirepb.Member {
	m := &wirepb.Member{
		Vm:          string(e.VM),
		Incarnation: uint64(e.Incarnation),
		Previous:    uint64(e.Previous),
		Status:      uint32(e.Status),
		Version:     e.Version,
		Content:     e.Content,
	}
	c := s.memberStates[e.VM]
	if c == nil || c.incarnation != e.Incarnation {
		return m
	}
	m.Address = c.address.String()
	m.ClockNs = int64(c.estimatedClock(s.h.node.Clock()))
	for _, u := range c.upstreams {
		if !u.Leaving {
			m.Upstreams = append(m.Upstreams, &wirepb.MemberUpstream{
				Service: u.Service, Slots: u.Slots, Connections: u.Connections, InFlight: u.InFlight,
			})
		}
	}
	return m
}

// ShardStatus implements wirepb.OwnerService.
func (r ownerService) ShardStatus(_ context.Context, req *wirepb.ShardStatusRequest) (*wirepb.ShardStatusResponse, error) {
	var resp *wirepb.ShardStatusResponse
	err := r.h.state.Do(func(s *hostState) {
		if s.term != nil && types.ShardID(req.GetShard()) == r.h.opts.Shard {
			resp = s.shardStatus()
		}
	})
	if err != nil || resp == nil {
		return nil, errNotOwner
	}
	return resp, nil
}

func (s *hostState) shardStatus() *wirepb.ShardStatusResponse {
	now := s.h.node.Clock()
	resp := &wirepb.ShardStatusResponse{
		Shard: string(s.h.opts.Shard),
		Owner: s.h.node.Name,
		Epoch: uint64(s.term.epoch),
		Ready: s.term.machine.Ready(now),
	}
	src, detector := s.source()
	for _, e := range detector.Delta(src, 0).States {
		m := &wirepb.MemberStatus{Vm: string(e.VM), Incarnation: uint64(e.Incarnation), State: e.Status.String()}
		if c := s.memberStates[e.VM]; c != nil {
			m.Address = c.address.String()
		}
		resp.Members = append(resp.Members, m)
	}
	usage := s.term.machine.Reservations()
	for _, m := range resp.Members {
		u := usage[types.VMID(m.GetVm())]
		m.Capacity, m.Reserved = convert.ResourcesToWire(u.Capacity), convert.ResourcesToWire(u.Reserved)
	}
	for _, t := range s.term.machine.Tasks() {
		resp.Tasks = append(resp.Tasks, &wirepb.TaskState{
			Task: string(t.Task), Attempt: uint32(t.Attempt), State: string(t.State), Vm: string(t.VM), Reason: t.Reason,
		})
	}
	return resp
}
