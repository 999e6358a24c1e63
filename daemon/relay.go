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

// Limits of the rate of appends to the log. In a large fleet there are 8 relays with
// two publishers each, which together append at most 160 times per second.
const (
	// maxDirectAppenders is the maximum number of members with which every instance
	// appends to the log directly.
	maxDirectAppenders = 64
	// relayShards is the number of shards whose owners append for other instances.
	relayShards = 8
	// directInterval and relayInterval are the minimum times between two appends of a
	// publisher, in a small and in a large fleet.
	directInterval = 5 * time.Millisecond
	relayInterval  = 100 * time.Millisecond
)

// minAppendInterval returns the minimum time between two appends of a publisher.
func minAppendInterval(view *controller.View) time.Duration {
	if view.State.MemberCount() <= maxDirectAppenders {
		return directInterval
	}
	return relayInterval
}

// relayAppender appends batches to the log. In a large fleet it sends them to a relay,
// which is the owner of one of a few shards, so that the rate of appends does not grow
// with the number of instances.
type relayAppender struct {
	log   *connector.LogClient
	peers *messenger.Client
	view  func() *controller.View
}

// Append implements publisher.Appender. It appends directly if there is no relay or
// if the relay fails.
func (a *relayAppender) Append(ctx context.Context, batch []byte) (uint64, error) {
	relay, found := a.findRelay()
	if found {
		reply, err := a.peers.Publish(ctx, relay, controller.PublishRequest{Batch: batch})
		if err == nil {
			return reply.Offset, nil
		}
	}
	return a.log.Append(ctx, batch)
}

// findRelay returns the member that appends for this instance. It reports false if
// this instance appends itself or if the relay is unavailable.
func (a *relayAppender) findRelay() (crocushollow.Member, bool) {
	view := a.view()
	if view.State.MemberCount() <= maxDirectAppenders {
		return crocushollow.Member{}, false
	}
	ownership := view.State.Ownership(crocushollow.ShardOf(view.Self.ID) % relayShards)
	member, found := view.State.Member(ownership.Owner.Instance)
	return member, found && member.ID != view.Self.ID && !view.Unavailable[member.ID]
}

// peerHandler handles the requests of peers.
type peerHandler struct {
	*controller.Controller
	daemon *Daemon
}

// HandlePublish appends the records of a peer to the log. They are batched with the
// records of other peers that are waiting.
func (h peerHandler) HandlePublish(ctx context.Context, request controller.PublishRequest) (controller.PublishReply, error) {
	var batch crocushollow.Batch
	if err := encoder.Decode(request.Batch, &batch); err != nil {
		return controller.PublishReply{}, err
	}
	group, ctx := errgroup.WithContext(ctx)
	for _, record := range batch.Records {
		group.Go(func() error { return h.daemon.directPublisher.Publish(ctx, record) })
	}
	if err := group.Wait(); err != nil {
		return controller.PublishReply{}, err
	}
	return controller.PublishReply{Offset: h.View().State.NextOffset()}, nil
}
