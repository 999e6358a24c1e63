package selector

const (
	// maxIdleFraction is the fraction of the slots up to which an upstream counts as idle, with
	// the request that is to be sent.
	maxIdleFraction = 0.5
	// maxIdleWaitingTokens is the number of waiting prompt tokens up to which an engine does.
	maxIdleWaitingTokens = maxWaitingTokens / 4
)

// isIdle reports whether the upstream has so much capacity left that a request that is sent in
// addition to another delays no other.
func (c *candidate) isIdle() bool {
	inFlight := c.ownLoad.InFlight + c.peerLoad.InFlight
	waiting := c.ownLoad.WaitingTokens + c.peerLoad.WaitingTokens
	return float64(inFlight+1) <= maxIdleFraction*float64(c.upstream.Slots) && waiting <= maxIdleWaitingTokens
}
