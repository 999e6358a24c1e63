package hosted

import (
	"net/http"
	"time"

	"github.com/crocushollow/crocushollow/platform"
	"github.com/crocushollow/crocushollow/protocol/bounder"
	"github.com/crocushollow/crocushollow/protocol/proxy"
	"github.com/crocushollow/crocushollow/protocol/rejecter"
	"github.com/crocushollow/crocushollow/transport/acceptor"
)

// What callers may use of the machine. Divisors are inverses of fractions.
const (
	// bodyMemoryDivisor is for the memory of bodies.
	bodyMemoryDivisor = 8
	// connMemoryDivisor is for the memory of callers' connections, each of which costs
	// connBytes.
	connMemoryDivisor = 4
	connBytes         = 24 << 10
	// reservedDescriptors are for files.
	reservedDescriptors = 200
	// callerSocketsDivisor is for the sockets of callers. The others are for upstreams, the
	// store and the other listeners.
	callerSocketsDivisor = 2
	// sideDivisor is the number of callers' connections for each one that another listener may
	// have.
	sideDivisor = 8
	// minConnections is the least maximum of connections of a listener.
	minConnections = 8
)

// assembleIntake builds the parts that bound what callers send.
func (i *Instance) assembleIntake() {
	i.bodies = bounder.NewIntake(i.memory() / bodyMemoryDivisor)
	i.callerConnections = i.newKeeper("callers", i.maxCallerConnections())
	i.reporter.set.NewGauge("crocushollow_body_bytes", func() float64 { return float64(i.bodies.Used()) })
	i.reporter.set.NewGauge("crocushollow_caller_connections", func() float64 { return float64(i.callerConnections.Len()) })
}

// maxCallerConnections returns the maximum number of connections of callers.
func (i *Instance) maxCallerConnections() int {
	count := int(i.memory() / connMemoryDivisor / connBytes)
	if descriptors := i.settings.Limits.Descriptors; descriptors > 0 {
		count = min(count, (descriptors-reservedDescriptors)/callerSocketsDivisor)
	}
	return max(count, minConnections)
}

func (i *Instance) newKeeper(listener string, maxConnections int) *acceptor.Keeper {
	return acceptor.NewKeeper(acceptor.KeeperConfig{
		MaxConnections: maxConnections,
		OnClose:        func(cause acceptor.Cause) { i.reporter.connectionClosed(listener, cause) },
	})
}

// newServers returns the server of callers, and all servers by their address.
func (i *Instance) newServers() (callers *http.Server, servers map[string]*http.Server) {
	callers = newServer(platform.NewIngress(platform.IngressConfig{
		Handler: i, Limits: i.requestLimits, IsDraining: i.draining.Load, Now: time.Now,
		Bodies: i.bodies, Connections: i.callerConnections,
	}))
	i.calls.observe(callers)
	i.callerConnections.Observe(callers)
	servers = map[string]*http.Server{
		i.settings.Listen.Callers:   callers,
		i.settings.Listen.Readiness: i.newSideServer("readiness", platform.NewReadinessHandler(i.isReady)),
		i.settings.Listen.Discovery: i.newSideServer("discovery", platform.NewDiscoveryHandler(i.resolve, discoveryTTL)),
	}
	if i.settings.Listen.Metrics != "" {
		servers[i.settings.Listen.Metrics] = i.newSideServer("metrics", i.reporter)
	}
	return callers, servers
}

// newSideServer returns a server for a listener other than the callers'.
func (i *Instance) newSideServer(listener string, handler http.Handler) *http.Server {
	server := newServer(acceptor.IgnoreBodies(handler))
	i.newKeeper(listener, max(i.maxCallerConnections()/sideDivisor, minConnections)).Observe(server)
	return server
}

// Check implements platform.CallHandler.
func (i *Instance) Check(call *proxy.Call) (proxy.Clearance, *rejecter.Error) {
	return i.proxy.Check(call)
}

// Refuse implements platform.CallHandler.
func (i *Instance) Refuse(request *http.Request, call *proxy.Call, apiErr *rejecter.Error, caller proxy.ResponseWriter) {
	if !i.calls.enter(request) {
		caller.WriteError(errStopping.WithRetryAfter(i.shutdownState().RetryAfter))
		return
	}
	i.proxy.Refuse(request.Context(), call, apiErr, caller)
}
