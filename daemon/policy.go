package daemon

import (
	"net/netip"
	"time"

	"github.com/crocushollow/crocushollow/coordination/controller"
	"github.com/crocushollow/crocushollow/protocol/dispatcher"
	"github.com/crocushollow/crocushollow/state/balancer"
	"github.com/crocushollow/crocushollow/state/placer"
	"github.com/crocushollow/crocushollow/state/scheduler"
	"github.com/crocushollow/crocushollow/transport/console"
)

// sourceAddr returns the source address of outgoing connections. It is the zero Addr
// if the operating system chooses it.
func (s Settings) sourceAddr() netip.Addr {
	source, err := netip.ParseAddr(s.Listen.Source)
	if err != nil {
		return netip.Addr{}
	}
	return source
}

// ticksPerProbe is the number of ticks of the control loop per probe interval.
const ticksPerProbe = 4

func (s Settings) controllerTiming() controller.Timing {
	timing := controller.DefaultTiming()
	timing.Lease = time.Duration(s.Timing.Lease)
	timing.ProbeInterval = time.Duration(s.Timing.ProbeInterval)
	timing.TickInterval = timing.ProbeInterval / ticksPerProbe
	timing.SuspectAfter = time.Duration(s.Timing.SuspectAfter)
	timing.ExchangeInterval = time.Duration(s.Timing.ExchangeInterval)
	timing.ReportInterval = time.Duration(s.Timing.ReportInterval)
	timing.PlanInterval = time.Duration(s.Timing.PlanInterval)
	timing.SnapshotInterval = time.Duration(s.Timing.SnapshotInterval)
	timing.CallTimeout = time.Duration(s.Timing.CallTimeout)
	return timing
}

func (s Settings) placementPlanner() placer.Planner {
	if s.Policy.Placement == "static" {
		return placer.StaticPlanner{}
	}
	return placer.AdaptivePlanner{}
}

// staticPartitions returns the number of equal partitions of each limit, or 0 if
// limits are divided by demand.
func (s Settings) staticPartitions() int64 {
	if s.Policy.Limits == "static" {
		return s.Policy.StaticPartitions
	}
	return 0
}

func (s Settings) routingPolicy() balancer.Policy {
	switch s.Policy.Routing {
	case "least_loaded":
		return balancer.LeastLoaded{}
	case "round_robin":
		return &balancer.RoundRobin{}
	default:
		return balancer.PrefixAffinity{}
	}
}

func (s Settings) newQueue() scheduler.Queue[*dispatcher.QueuedRequest] {
	if s.Policy.Queue == "fifo" {
		return scheduler.NewFIFOQueue[*dispatcher.QueuedRequest](s.Calls.QueueLength)
	}
	return scheduler.NewFairQueue[*dispatcher.QueuedRequest](s.Calls.QueueLength)
}

func (s Settings) operators() []console.Operator {
	operators := make([]console.Operator, 0, len(s.Operators))
	for _, o := range s.Operators {
		operators = append(operators, console.Operator{Name: o.Name, TokenDigest: o.TokenSHA256, Role: o.Role})
	}
	return operators
}
