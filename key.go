package crocushollow

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
)

// Digest is a SHA-256 digest, for example of an API key. The key itself is never
// stored.
type Digest [sha256.Size]byte

// DigestKey returns the digest that is stored in place of a caller's key.
func DigestKey(key string) Digest {
	return sha256.Sum256([]byte(key))
}

// secretBytes is the number of random bytes in an API key.
const secretBytes = 24

// NewAPIKeySecret generates the secret of a new API key.
func NewAPIKeySecret() string {
	secret := make([]byte, secretBytes)
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(secret)
	return "ch-" + hex.EncodeToString(secret)
}

// MarshalText implements encoding.TextMarshaler with hexadecimal digits.
func (d Digest) MarshalText() ([]byte, error) {
	return []byte(hex.EncodeToString(d[:])), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(d) {
		return errors.New("must be 64 hexadecimal digits")
	}
	_, err := hex.Decode(d[:], text)
	return err
}

// APIKey authenticates its bearer as a workspace until it is withdrawn.
type APIKey struct {
	// ID is the primary key. It is a public name, never the secret.
	ID string `json:"id" cell:"id"`
	// Workspace is the ID of the workspace that the key belongs to.
	Workspace string `json:"workspace" cell:"workspace"`
	// Digest is unique among all keys.
	Digest Digest `json:"digest" cell:"digest"`
	// Withdrawn revokes the key.
	Withdrawn bool `json:"withdrawn" cell:"withdrawn"`
}

// Ref implements Row.
func (k APIKey) Ref() RowRef { return RowRef{Table: APIKeyTable, ID: k.ID} }

// References implements Row.
func (k APIKey) References() []RowRef {
	return []RowRef{{Table: WorkspaceTable, ID: k.Workspace}}
}

// Validate implements Row.
func (k APIKey) Validate() error {
	if k.Digest == (Digest{}) {
		return &CellError{Column: "digest", Reason: "must not be empty"}
	}
	return validateID("id", k.ID)
}
