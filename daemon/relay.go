package daemon

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/coordination/controller"
	"github.com/crocushollow/crocushollow/state/encoder"
	"github.com/crocushollow/crocushollow/transport/connector"
	"github.com/crocushollow/crocushollow/transport/messenger"
)

// Bounds of the appends to the log. In a large fleet 8 relays with two
// publishers each append at most 160 times a second together.
const (
	// directAppenders is the number of members up to which every instance
	// appends to the log itself.
	directAppenders = 64
	// relayShards is the number of shards whose holders append for others.
	relayShards = 8
	// directInterval and relayInterval are the least times between two appends
	// of a publisher in a small and in a large fleet.
	directInterval = 5 * time.Millisecond
	relayInterval  = 100 * time.Millisecond
)

// appendInterval returns the least time between two appends of a publisher.
func appendInterval(view *controller.View) time.Duration {
	if view.State.MemberCount() <= directAppenders {
		return directInterval
	}
	return relayInterval
}

// relayAppender appends through the holder of one of a few shards in a large
// fleet, so that the rate of appends does not follow the number of instances.
type relayAppender struct {
	log   *connector.LogClient
	peers *messenger.Client
	view  func() *controller.View
}

// Append implements publisher.Appender.
func (a *relayAppender) Append(ctx context.Context, batch []byte) (uint64, error) {
	relay, found := a.relay()
	if found {
		reply, err := a.peers.Publish(ctx, relay, controller.PublishRequest{Batch: batch})
		if err == nil {
			return reply.Offset, nil
		}
	}
	return a.log.Append(ctx, batch)
}

// relay returns the member that appends for this instance, if it is another.
func (a *relayAppender) relay() (crocushollow.Member, bool) {
	view := a.view()
	if view.State.MemberCount() <= directAppenders {
		return crocushollow.Member{}, false
	}
	holding := view.State.Ownership(crocushollow.ShardOf(view.Self.ID) % relayShards)
	member, found := view.State.Member(holding.Owner.Instance)
	return member, found && member.ID != view.Self.ID && !view.Unavailable[member.ID]
}

// peerHandler answers the calls of other instances.
type peerHandler struct {
	*controller.Controller
	daemon *Daemon
}

// HandlePublish appends the records of another instance together with those
// that wait here.
func (h peerHandler) HandlePublish(ctx context.Context, request controller.PublishRequest) (controller.PublishReply, error) {
	var batch crocushollow.Batch
	if err := encoder.Decode(request.Batch, &batch); err != nil {
		return controller.PublishReply{}, err
	}
	group, ctx := errgroup.WithContext(ctx)
	for _, record := range batch.Records {
		group.Go(func() error { return h.daemon.relay.Publish(ctx, record) })
	}
	if err := group.Wait(); err != nil {
		return controller.PublishReply{}, err
	}
	return controller.PublishReply{Offset: h.View().State.NextOffset()}, nil
}
