package crocushollow

// WeightStoreLimitID is the primary key of the row that limits loads from the
// weight store.
const WeightStoreLimitID = "weight_store"

// Limit limits the use of a platform service by all instances together.
type Limit struct {
	// ID is the primary key. Only weight_store has an effect at present.
	ID string `json:"id" cell:"id"`
	// Rate is the number of uses per second. It is greater than 0.
	Rate float64 `json:"rate" cell:"rate"`
	// Burst is the number of uses that may start at once.
	Burst int64 `json:"burst" cell:"burst"`
	// MaxInFlight is the maximum number of uses in progress.
	MaxInFlight int64 `json:"max_in_flight" cell:"max_in_flight"`
}

// Ref implements Row.
func (l Limit) Ref() RowRef { return RowRef{Table: LimitTable, ID: l.ID} }

// References implements Row.
func (l Limit) References() []RowRef { return nil }

// Validate implements Row.
func (l Limit) Validate() error {
	if !(l.Rate > 0) {
		return &CellError{Column: "rate", Reason: "must be greater than 0"}
	}
	return firstError(
		validateID("id", l.ID),
		requirePositive("burst", l.Burst),
		requirePositive("max_in_flight", l.MaxInFlight),
	)
}
