package crocushollow_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/crocushollow/crocushollow"
)

// TestPositionsAreOrderedByEraAndOffset guards against an offset of a later era that
// compares as an earlier one, and against an era or offset that overflows into the other.
func TestPositionsAreOrderedByEraAndOffset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func() (era, offset int64, position crocushollow.Position) {
			era, offset = rapid.Int64Range(0, 1<<13-1).Draw(t, "era"), rapid.Int64Range(0, 1<<40-1).Draw(t, "offset")
			position, err := crocushollow.NewPosition(era, offset)
			if err != nil {
				t.Fatal(err)
			}
			return era, offset, position
		}
		era, offset, position := draw()
		if position.Era() != era || position.Offset() != offset || int64(float64(position)) != int64(position) {
			t.Fatalf("era %d, offset %d became %d, %d", era, offset, position.Era(), position.Offset())
		}
		otherEra, otherOffset, other := draw()
		isEarlier := era < otherEra || era == otherEra && offset < otherOffset
		if (position < other) != isEarlier {
			t.Fatalf("(%d, %d) and (%d, %d) are out of order", era, offset, otherEra, otherOffset)
		}
	})
	for _, c := range [][2]int64{{-1, 0}, {0, -1}, {1 << 13, 0}, {0, 1 << 40}} {
		if _, err := crocushollow.NewPosition(c[0], c[1]); err == nil {
			t.Errorf("era %d and offset %d are accepted", c[0], c[1])
		}
	}
}
