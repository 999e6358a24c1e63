// Package messenger carries the calls between instances over DRPC with CBOR
// messages.
package messenger

import (
	"context"
	"errors"
	"fmt"

	"storj.io/drpc"

	"github.com/crocushollow/crocushollow/coordination/controller"
	"github.com/crocushollow/crocushollow/coordination/sharer"
	"github.com/crocushollow/crocushollow/state/encoder"
)

// Names of the calls.
const (
	probeCall    = "/peer/probe"
	exchangeCall = "/peer/exchange"
	fetchCall    = "/peer/fetch"
	checkCall    = "/peer/check"
	demandCall   = "/peer/demand"
	publishCall  = "/peer/publish"
)

// ErrIncarnationMismatch reports a call to a life of an instance that is over.
var ErrIncarnationMismatch = errors.New("another incarnation answers at the address")

// encoding implements drpc.Encoding with CBOR.
type encoding struct{}

// Marshal implements drpc.Encoding.
func (encoding) Marshal(message drpc.Message) ([]byte, error) { return encoder.Encode(message) }

// Unmarshal implements drpc.Encoding.
func (encoding) Unmarshal(data []byte, message drpc.Message) error {
	return encoder.Decode(data, message)
}

// Handler answers the calls of other instances.
type Handler interface {
	HandleProbe(ctx context.Context, request controller.ProbeRequest) (controller.ProbeReply, bool, error)
	HandleExchange(ctx context.Context, exchange sharer.Exchange) (sharer.ExchangeReply, error)
	HandleFetchLog(ctx context.Context, request controller.FetchLogRequest) (controller.FetchLogReply, error)
	HandleCheckSuspect(ctx context.Context, request controller.CheckSuspectRequest) (controller.CheckSuspectReply, error)
	HandleDemand(ctx context.Context, report controller.DemandReport) error
	HandlePublish(ctx context.Context, request controller.PublishRequest) (controller.PublishReply, error)
}

// service adapts a Handler to the method shapes that DRPC expects.
type service struct {
	handler Handler
}

func (s *service) probe(ctx context.Context, in *controller.ProbeRequest) (*controller.ProbeReply, error) {
	reply, meant, err := s.handler.HandleProbe(ctx, *in)
	if err == nil && !meant {
		err = ErrIncarnationMismatch
	}
	return &reply, err
}

func (s *service) exchange(ctx context.Context, in *sharer.Exchange) (*sharer.ExchangeReply, error) {
	reply, err := s.handler.HandleExchange(ctx, *in)
	return &reply, err
}

func (s *service) fetch(ctx context.Context, in *controller.FetchLogRequest) (*controller.FetchLogReply, error) {
	reply, err := s.handler.HandleFetchLog(ctx, *in)
	return &reply, err
}

func (s *service) check(ctx context.Context, in *controller.CheckSuspectRequest) (*controller.CheckSuspectReply, error) {
	reply, err := s.handler.HandleCheckSuspect(ctx, *in)
	return &reply, err
}

func (s *service) demand(ctx context.Context, in *controller.DemandReport) (*controller.DemandReply, error) {
	return &controller.DemandReply{}, s.handler.HandleDemand(ctx, *in)
}

func (s *service) publish(ctx context.Context, in *controller.PublishRequest) (*controller.PublishReply, error) {
	reply, err := s.handler.HandlePublish(ctx, *in)
	return &reply, err
}

// method describes one call.
type method struct {
	name     string
	receiver drpc.Receiver
	shape    any
}

// newMethod adapts a typed handler of a unary call.
func newMethod[In, Out any](name string, shape func(*service, context.Context, *In) (*Out, error)) method {
	return method{
		name: name,
		receiver: func(srv any, ctx context.Context, in1, _ any) (drpc.Message, error) {
			s, isService := srv.(*service)
			in, isInput := in1.(*In)
			if !isService || !isInput {
				return nil, fmt.Errorf("call %s with %T", name, in1)
			}
			return shape(s, ctx, in)
		},
		shape: shape,
	}
}

// description lists the calls for DRPC.
type description struct {
	methods []method
}

func newDescription() description {
	return description{methods: []method{
		newMethod(probeCall, (*service).probe),
		newMethod(exchangeCall, (*service).exchange),
		newMethod(fetchCall, (*service).fetch),
		newMethod(checkCall, (*service).check),
		newMethod(demandCall, (*service).demand),
		newMethod(publishCall, (*service).publish),
	}}
}

// NumMethods implements drpc.Description.
func (d description) NumMethods() int { return len(d.methods) }

// Method implements drpc.Description.
func (d description) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	if n < 0 || n >= len(d.methods) {
		return "", nil, nil, nil, false
	}
	m := d.methods[n]
	return m.name, encoding{}, m.receiver, m.shape, true
}
