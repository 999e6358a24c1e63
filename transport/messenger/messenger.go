// Package messenger implements the RPCs between instances: DRPC with messages
// encoded in CBOR.
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

// RPC method names.
const (
	probeMethod        = "/peer/probe"
	exchangeMethod     = "/peer/exchange"
	fetchLogMethod     = "/peer/fetch"
	checkSuspectMethod = "/peer/check"
	demandMethod       = "/peer/demand"
	publishMethod      = "/peer/publish"
)

// ErrIncarnationMismatch reports a call to an incarnation of an instance that no
// longer runs.
var ErrIncarnationMismatch = errors.New("the address belongs to another incarnation")

// cborEncoding implements drpc.Encoding with CBOR.
type cborEncoding struct{}

// Marshal implements drpc.Encoding.
func (cborEncoding) Marshal(message drpc.Message) ([]byte, error) { return encoder.Encode(message) }

// Unmarshal implements drpc.Encoding.
func (cborEncoding) Unmarshal(data []byte, message drpc.Message) error {
	return encoder.Decode(data, message)
}

// Handler handles the RPCs of peers.
type Handler interface {
	// HandleProbe returns false if the probe is addressed to another incarnation.
	HandleProbe(ctx context.Context, request controller.ProbeRequest) (controller.ProbeReply, bool, error)
	HandleExchange(ctx context.Context, exchange sharer.Exchange) (sharer.ExchangeReply, error)
	HandleFetchLog(ctx context.Context, request controller.FetchLogRequest) (controller.FetchLogReply, error)
	HandleCheckSuspect(ctx context.Context, request controller.CheckSuspectRequest) (controller.CheckSuspectReply, error)
	HandleDemand(ctx context.Context, report controller.DemandReport) error
	HandlePublish(ctx context.Context, request controller.PublishRequest) (controller.PublishReply, error)
}

// service adapts a Handler to the method signatures that DRPC expects.
type service struct {
	handler Handler
}

func (s *service) probe(ctx context.Context, in *controller.ProbeRequest) (*controller.ProbeReply, error) {
	reply, matches, err := s.handler.HandleProbe(ctx, *in)
	if err == nil && !matches {
		err = ErrIncarnationMismatch
	}
	return &reply, err
}

func (s *service) exchange(ctx context.Context, in *sharer.Exchange) (*sharer.ExchangeReply, error) {
	reply, err := s.handler.HandleExchange(ctx, *in)
	return &reply, err
}

func (s *service) fetchLog(ctx context.Context, in *controller.FetchLogRequest) (*controller.FetchLogReply, error) {
	reply, err := s.handler.HandleFetchLog(ctx, *in)
	return &reply, err
}

func (s *service) checkSuspect(ctx context.Context, in *controller.CheckSuspectRequest) (*controller.CheckSuspectReply, error) {
	reply, err := s.handler.HandleCheckSuspect(ctx, *in)
	return &reply, err
}

func (s *service) reportDemand(ctx context.Context, in *controller.DemandReport) (*controller.DemandReply, error) {
	return &controller.DemandReply{}, s.handler.HandleDemand(ctx, *in)
}

func (s *service) publish(ctx context.Context, in *controller.PublishRequest) (*controller.PublishReply, error) {
	reply, err := s.handler.HandlePublish(ctx, *in)
	return &reply, err
}

// method describes an RPC method.
type method struct {
	name     string
	receiver drpc.Receiver
	function any
}

// newMethod wraps a typed handler of a unary RPC in a DRPC receiver.
func newMethod[In, Out any](name string, handle func(*service, context.Context, *In) (*Out, error)) method {
	return method{
		name: name,
		receiver: func(srv any, ctx context.Context, in1, _ any) (drpc.Message, error) {
			s, isService := srv.(*service)
			in, isInput := in1.(*In)
			if !isService || !isInput {
				return nil, fmt.Errorf("method %s: unexpected argument of type %T", name, in1)
			}
			return handle(s, ctx, in)
		},
		function: handle,
	}
}

// serviceDescription lists the methods of the service for DRPC.
type serviceDescription struct {
	methods []method
}

func newServiceDescription() serviceDescription {
	return serviceDescription{methods: []method{
		newMethod(probeMethod, (*service).probe),
		newMethod(exchangeMethod, (*service).exchange),
		newMethod(fetchLogMethod, (*service).fetchLog),
		newMethod(checkSuspectMethod, (*service).checkSuspect),
		newMethod(demandMethod, (*service).reportDemand),
		newMethod(publishMethod, (*service).publish),
	}}
}

// NumMethods implements drpc.Description.
func (d serviceDescription) NumMethods() int { return len(d.methods) }

// Method implements drpc.Description.
func (d serviceDescription) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	if n < 0 || n >= len(d.methods) {
		return "", nil, nil, nil, false
	}
	m := d.methods[n]
	return m.name, cborEncoding{}, m.receiver, m.function, true
}
