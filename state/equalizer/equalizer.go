// Package equalizer keeps long prompts from being left out while engines are overloaded.
//
// Requests whose prompts need little room start first if room is short: this serves the most
// callers. But short prompts then take all room before there is enough for a long one. The
// equalizer watches how often the long prompts of each route start. While they start much less
// often than all, it raises the discount on the length of prompts in the decision, until the
// length does not matter any more.
package equalizer

import "sync"

const (
	// minLongFraction is how often long prompts are to start, as a fraction of how often all do.
	minLongFraction = 0.85
	// longQuantile is the fraction of the prompts of a route that are not long.
	longQuantile = 0.7
	// memory is the number of requests of a route over which the shares are averaged.
	memory = 20.0
	// gain is the change of the discount with each request, as a multiple of the difference
	// between the shares.
	gain = 2.0
	// maxRoutes bounds the routes that are remembered, as their names may change without end.
	maxRoutes = 4096
)

// Equalizer holds the discounts on the lengths of prompts. It is safe for concurrent use.
type Equalizer struct {
	mu     sync.Mutex
	routes map[string]*route
}

// route is what is known of the requests of a route.
type route struct {
	// threshold is the estimated length above which prompts are long.
	threshold float64
	// started and longStarted are the shares of the latest requests, and of the long ones
	// among them, that started.
	started, longStarted float64
	// discount is in [0, 1].
	discount float64
}

// New returns an Equalizer that knows no requests.
func New() *Equalizer { return &Equalizer{routes: make(map[string]*route)} }

// Discount returns the fraction of the length of a prompt that does not count when room for it is
// looked for.
func (e *Equalizer) Discount(name string) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.routes[name]; r != nil {
		return r.discount
	}
	return 0
}

// HighestDiscount returns the highest discount of all routes.
func (e *Equalizer) HighestDiscount() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	highest := 0.0
	for _, r := range e.routes {
		highest = max(highest, r.discount)
	}
	return highest
}

// Record records whether a request of a route with a prompt of a number of tokens found room.
func (e *Equalizer) Record(name string, tokens float64, hasStarted bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.routes[name]
	if r == nil {
		if len(e.routes) >= maxRoutes {
			clear(e.routes)
		}
		r = &route{threshold: tokens, started: 1, longStarted: 1}
		e.routes[name] = r
	}
	outcome := 0.0
	if hasStarted {
		outcome = 1
	}
	r.started += (outcome - r.started) / memory
	if tokens > r.threshold {
		r.longStarted += (outcome - r.longStarted) / ((1 - longQuantile) * memory)
		r.threshold += longQuantile * tokens / memory
	} else {
		r.threshold = max(r.threshold-(1-longQuantile)*r.threshold/memory, 0)
	}
	r.discount = min(max(r.discount+gain*(minLongFraction*r.started-r.longStarted), 0), 1)
}
