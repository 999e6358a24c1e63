package dutyholder

import "context"

// Step does what is due at once.
func (h *UsageHolder) Step(ctx context.Context) { h.step(ctx) }

// Step does what is due at once.
func (h *ScaleHolder) Step(ctx context.Context) { h.step(ctx) }
