package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/membership"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

// SendReport delivers observations to an evaluator: by a peer call, or directly if
// this instance is the evaluator.
func (i *Instance) SendReport(ctx context.Context, to membership.Member, request *peerpb.ReportRequest) (*peerpb.ReportReply, error) {
	if to.Incarnation == i.control.View().Self.Incarnation {
		return i.evaluator.HandleReport(request), nil
	}
	request.Versions, request.SuspectRequests, request.ConnectedAgeMs = i.control.Versions(), i.suspects.Messages(), i.connectedAge()
	reply, err := i.transport.Report(ctx, to.PeerAddress, request)
	if err == nil {
		i.connecting.record(to.Incarnation, reply.ConnectedAgeMs, i.clock.SinceBoot())
		i.suspects.Merge(to.Instance, reply.GetSuspectRequests())
		i.control.Observe(to.Incarnation, to.PeerAddress, reply.GetVersions())
	}
	return reply, err
}

func (i *Instance) handleReport(_ context.Context, request *peerpb.ReportRequest) (*peerpb.ReportReply, error) {
	i.observeSender(request.GetFrom(), request.GetVersions())
	i.connecting.record(request.GetFrom(), request.ConnectedAgeMs, i.clock.SinceBoot())
	i.suspects.Merge(request.GetFrom(), request.GetSuspectRequests())
	reply := i.evaluator.HandleReport(request)
	reply.Versions, reply.SuspectRequests, reply.ConnectedAgeMs = i.control.Versions(), i.suspects.Messages(), i.connectedAge()
	return reply, nil
}

// Borrow requests a loan of tokens from the instance at a peer address.
func (i *Instance) Borrow(ctx context.Context, address string, request *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
	request.Versions = i.control.Versions()
	return i.transport.Borrow(ctx, address, request)
}

func (i *Instance) handleBorrow(ctx context.Context, request *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
	i.observeSender(request.GetFrom(), request.GetVersions())
	reply, err := i.limiter.HandleBorrow(ctx, request)
	if err == nil {
		reply.Versions = i.control.Versions()
	}
	return reply, err
}

// SendReserve asks a dispatcher to reserve a slot.
func (i *Instance) SendReserve(ctx context.Context, to membership.Member, request *peerpb.ReserveRequest) (*peerpb.ReserveReply, error) {
	request.Versions = i.control.Versions()
	reply, err := i.transport.Reserve(ctx, to.PeerAddress, request)
	if err == nil {
		i.control.Observe(to.Incarnation, to.PeerAddress, reply.GetVersions())
	}
	return reply, err
}

func (i *Instance) handleReserve(_ context.Context, request *peerpb.ReserveRequest) (*peerpb.ReserveReply, error) {
	i.observeSender(request.GetFrom(), request.GetVersions())
	reply := i.dispatcher.HandleReserve(request)
	reply.Versions = i.control.Versions()
	return reply, nil
}

// observeSender passes the version numbers in a member's message to the control
// loop, so that this instance fetches the versions that it lacks from the sender.
func (i *Instance) observeSender(from string, v *peerpb.Versions) {
	if member, ok := i.control.View().Membership.Find(from); ok {
		i.control.Observe(from, member.PeerAddress, v)
	}
}

// pruneInterval is the time between two runs of pruneObservations.
const pruneInterval = 10 * time.Second

// pruneObservations drops the observations of targets that are no longer
// configured, until ctx ends.
func (i *Instance) pruneObservations(ctx context.Context) error {
	for {
		if err := i.clock.Sleep(ctx, pruneInterval); err != nil {
			return errors.WithStack(err)
		}
		i.collector.Retain(i.control.View().Config.Config.Services)
	}
}
