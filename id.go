package crocushollow

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
)

// ID is a random identifier of a record, an edit or an attempt.
type ID [16]byte

// NewID returns a new random ID.
func NewID() ID {
	var id ID
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(id[:])
	return id
}

// IsZero reports whether the ID is unset.
func (id ID) IsZero() bool { return id == ID{} }

// String returns the ID as hexadecimal digits.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

// MarshalText implements encoding.TextMarshaler.
func (id ID) MarshalText() ([]byte, error) { return []byte(id.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (id *ID) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(id) {
		return errors.New("must be 32 hexadecimal digits")
	}
	_, err := hex.Decode(id[:], text)
	return err
}
