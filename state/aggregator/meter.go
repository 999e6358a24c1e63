package aggregator

import (
	"time"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/state/allotter"
)

// meter counts a source's consumption of one workspace's limit.
type meter struct {
	// counted is the consumption since the start of the aggregator's term.
	counted float64
	// reported is the counter in the source's last report.
	reported float64
	demand   float64
	// level is the source's estimate of the level of the bucket.
	level float64
	// rate is the consumption per second between the last two reports.
	rate float64
}

// setUses counts what a source has consumed since its last report. If the source
// counts from a new start, the first report shows the consumption since then if
// countsAll is set. Otherwise the consumption since the last report is unknown and
// is estimated from the rate before.
func (s *source) setUses(uses map[string]allotter.Usage, incarnation crocushollow.Incarnation, countsAll bool, now time.Time) {
	gap := min(now.Sub(s.reportedAt), maxEstimatedGap)
	isFirst := s.reportedAt.IsZero()
	isSame := !isFirst && s.incarnation == incarnation
	for workspace, usage := range uses {
		m, known := s.uses[workspace]
		if !known {
			m = &meter{}
			s.uses[workspace] = m
		}
		switch {
		case isSame:
			m.advance(usage.Consumed-m.reported, gap)
		case countsAll:
			m.counted += m.rate*gap.Seconds() + usage.Consumed
		case !isFirst:
			m.counted += m.rate * gap.Seconds()
		}
		m.reported, m.demand, m.level = usage.Consumed, usage.Demand, usage.Level
	}
	for workspace, m := range s.uses {
		if _, reported := uses[workspace]; reported {
			continue
		}
		if !isSame && !isFirst {
			m.counted += m.rate * gap.Seconds()
			m.reported = 0
		}
		m.demand, m.rate = 0, 0
	}
	s.incarnation, s.reportedAt = incarnation, now
}

// advance counts tokens that were consumed in a time.
func (m *meter) advance(tokens float64, elapsed time.Duration) {
	m.counted += max(tokens, 0)
	if elapsed > 0 {
		m.rate = max(tokens, 0) / elapsed.Seconds()
	}
}
