package dutyholder

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/crocushollow/crocushollow/state/scaler"
)

// Subject is a service in an availability zone.
type Subject struct{ Service, AvailabilityZone string }

// ScaleClient orders numbers of engines from the platform.
type ScaleClient interface {
	OrderEngines(ctx context.Context, fencingToken int64, subject Subject, engines int) error
}

// ScaleConfig configures a ScaleHolder. All fields are required.
type ScaleConfig struct {
	Leadership Leadership
	Client     ScaleClient
	// Services returns the state of each service whose number of engines may change.
	Services       func() map[string]scaler.Input
	CallsPerSecond float64
	OnCall         func(call, result string)
	Logger         zerolog.Logger
	Now            func() time.Time
}

const (
	// decisionInterval is the time between two decisions.
	decisionInterval = 500 * time.Millisecond
	// lateExecution is the time after which a call without a response has been executed, or
	// never will be.
	lateExecution = 10 * time.Second
)

// engineOrder is the newest order for a subject.
type engineOrder struct {
	engines int
	// dueAt is when it is sent next. It is zero if the platform has it.
	dueAt time.Time
	// unsettledUntil is the time until which an earlier call may still be executed. The
	// order is sent again then.
	unsettledUntil time.Time
}

// ScaleHolder orders numbers of engines while this instance holds the duty.
type ScaleHolder struct {
	config ScaleConfig
	done   chan struct{}

	// The fields below are accessed by Run only.

	token       int64
	fencedToken int64
	decideAt    time.Time
	scalers     map[string]*scaler.Scaler
	orders      map[Subject]*engineOrder
	calls       pacer
}

// NewScaleHolder returns a holder that is not running. Run starts it.
func NewScaleHolder(config ScaleConfig) *ScaleHolder {
	return &ScaleHolder{config: config, done: make(chan struct{}), calls: newPacer(config.CallsPerSecond)}
}

// Done returns a channel that is closed when Run has returned.
func (h *ScaleHolder) Done() <-chan struct{} { return h.done }

// Run holds the duty until the context ends.
func (h *ScaleHolder) Run(ctx context.Context) error {
	defer close(h.done)
	runTicks(ctx, h.step)
	return nil
}

// step decides and orders what is due. A new term starts from the engines that are there,
// since nobody knows which of the earlier holder's orders the platform has.
func (h *ScaleHolder) step(ctx context.Context) {
	token, holds := h.config.Leadership.FencingToken()
	if !holds || token == h.fencedToken {
		h.token = 0
		return
	}
	if token != h.token {
		h.token = token
		h.scalers, h.orders = make(map[string]*scaler.Scaler), make(map[Subject]*engineOrder)
	}
	if now := h.config.Now(); !now.Before(h.decideAt) {
		h.decideAt = now.Add(decisionInterval)
		h.decide(now)
	}
	h.sendNext(ctx)
}

// decide replaces the orders of the subjects whose number changes.
func (h *ScaleHolder) decide(now time.Time) {
	for service, input := range h.config.Services() {
		if h.scalers[service] == nil {
			h.scalers[service] = &scaler.Scaler{}
		}
		for zone, engines := range h.scalers[service].Decide(input, now) {
			subject := Subject{Service: service, AvailabilityZone: zone}
			if h.orders[subject] == nil {
				h.orders[subject] = &engineOrder{}
			}
			h.orders[subject].engines, h.orders[subject].dueAt = engines, now
		}
	}
}

// sendNext sends an order that is due.
func (h *ScaleHolder) sendNext(ctx context.Context) {
	now := h.config.Now()
	if !h.calls.isDue(now) {
		return
	}
	for subject, order := range h.orders {
		if order.dueAt.IsZero() || now.Before(order.dueAt) {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if token, holds := h.config.Leadership.FencingToken(); holds && token == h.token {
			h.finish(subject, order, h.config.Client.OrderEngines(ctx, h.token, subject, order.engines))
		}
		return
	}
}

// finish applies the result of a call.
func (h *ScaleHolder) finish(subject Subject, order *engineOrder, err error) {
	now := h.config.Now()
	result := "done"
	switch {
	case err == nil:
		h.calls.succeeded(now)
		order.dueAt = time.Time{}
		if now.Before(order.unsettledUntil) {
			order.dueAt = order.unsettledUntil
		}
	case errors.Is(err, ErrFenced):
		result, h.fencedToken = "fenced", h.token
	case errors.Is(err, ErrThrottled):
		result = "throttled"
		h.calls.failed(now)
	default:
		result = "unknown"
		h.calls.failed(now)
		order.unsettledUntil = now.Add(lateExecution)
	}
	h.config.OnCall("scale", result)
	h.config.Logger.Info().Int64("fence", h.token).Str("service", subject.Service).Str("availability_zone", subject.AvailabilityZone).
		Int("engines", order.engines).Str("result", result).AnErr("cause", err).Msg("engines ordered")
}
