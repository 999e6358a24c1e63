// Package encoder encodes and decodes records and messages. The format is CBOR
// (RFC 8949) with deterministic encoding and bounded decoding.
package encoder

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Limits of a single message.
const (
	// MaxMessageBytes is the size of the largest message that is decoded. The
	// largest message is a snapshot with the state of a whole fleet.
	MaxMessageBytes = 64 << 20
	// maxNestingLevels and maxCollectionLength bound the work of the decoder.
	maxNestingLevels    = 16
	maxCollectionLength = 1 << 20
)

// ErrMessageTooLarge reports a message larger than MaxMessageBytes.
var ErrMessageTooLarge = errors.New("message too large")

// Validator is implemented by messages that are validated when they are decoded.
type Validator interface {
	Validate() error
}

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	opts := cbor.CoreDetEncOptions()
	opts.Time = cbor.TimeRFC3339Nano
	mode, err := opts.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  maxNestingLevels,
		MaxArrayElements: maxCollectionLength,
		MaxMapPairs:      maxCollectionLength,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the encoded message.
func Encode(message any) ([]byte, error) {
	data, err := encMode.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", message, err)
	}
	return data, nil
}

// Decode decodes data into a message and validates the message if it is a
// Validator.
func Decode(data []byte, message any) error {
	if len(data) > MaxMessageBytes {
		return ErrMessageTooLarge
	}
	if err := decMode.Unmarshal(data, message); err != nil {
		return fmt.Errorf("decode %T: %w", message, err)
	}
	if v, checks := message.(Validator); checks {
		return v.Validate()
	}
	return nil
}
