package crocushollow

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
)

// KeyDigest is the SHA-256 digest of a caller's key. The key itself is never
// stored.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest under which a caller's key is stored.
func DigestKey(key string) KeyDigest {
	return sha256.Sum256([]byte(key))
}

// secretBytes is the length of the random part of a key.
const secretBytes = 24

// NewSecret returns a new key for a caller.
func NewSecret() string {
	secret := make([]byte, secretBytes)
	// Read of crypto/rand never returns an error.
	_, _ = rand.Read(secret)
	return "ch-" + hex.EncodeToString(secret)
}

// MarshalText implements encoding.TextMarshaler with hexadecimal digits.
func (d KeyDigest) MarshalText() ([]byte, error) {
	return []byte(hex.EncodeToString(d[:])), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(d) {
		return errors.New("must be 64 hexadecimal digits")
	}
	_, err := hex.Decode(d[:], text)
	return err
}

// Key lets its bearer call on behalf of a workspace until it is withdrawn.
type Key struct {
	// ID is the primary key: a public name, never the secret.
	ID string `json:"id" cell:"id"`
	// Workspace is the ID of the workspace the key belongs to.
	Workspace string `json:"workspace" cell:"workspace"`
	// Digest is unique among all keys.
	Digest KeyDigest `json:"digest" cell:"digest"`
	// Withdrawn stops the key from being honoured.
	Withdrawn bool `json:"withdrawn" cell:"withdrawn"`
}

// Ref implements Row.
func (k Key) Ref() RowRef { return RowRef{Table: KeyTable, ID: k.ID} }

// References implements Row.
func (k Key) References() []RowRef {
	return []RowRef{{Table: WorkspaceTable, ID: k.Workspace}}
}

// Validate implements Row.
func (k Key) Validate() error {
	if k.Digest == (KeyDigest{}) {
		return &CellError{Column: "digest", Reason: "must not be empty"}
	}
	return validateID("id", k.ID)
}
