package crocushollow

import "errors"

// Position is the place of a record in a partition of the platform's log. A log that is
// restored from a copy begins a new era and gives the offsets after the copy again, so a
// position has both. Positions of a later era are greater than all earlier ones, and
// within an era p+1 follows p.
//
// Invariant: a position is not negative, unless it stands for no position.
type Position int64

// offsetBits is the number of bits of the offset. Eras up to maxPositionEra keep
// positions exact as JSON numbers.
const (
	offsetBits        = 40
	maxPositionEra    = 1<<13 - 1
	maxPositionOffset = 1<<offsetBits - 1
)

// ErrInvalidPosition reports an era or an offset that a Position cannot hold.
var ErrInvalidPosition = errors.New("era or offset of the log out of range")

// NewPosition returns the position of an offset in an era.
func NewPosition(era, offset int64) (Position, error) {
	if era < 0 || era > maxPositionEra || offset < 0 || offset > maxPositionOffset {
		return 0, ErrInvalidPosition
	}
	return Position(era<<offsetBits | offset), nil
}

// Era returns the number of times that the log had been restored.
func (p Position) Era() int64 { return int64(p) >> offsetBits }

// Offset returns the offset within the era.
func (p Position) Offset() int64 { return int64(p) & maxPositionOffset }
