package crocushollow

// AvailabilityZone is a failure domain that operators can take out of service.
type AvailabilityZone struct {
	// ID is the primary key.
	ID string `json:"id" cell:"id"`
	// InService allows new work to be sent to the zone's upstreams.
	InService bool `json:"in_service" cell:"in_service"`
}

// Ref implements Row.
func (z AvailabilityZone) Ref() RowRef { return RowRef{Table: AvailabilityZoneTable, ID: z.ID} }

// References implements Row.
func (z AvailabilityZone) References() []RowRef { return nil }

// Validate implements Row.
func (z AvailabilityZone) Validate() error { return validateID("id", z.ID) }
