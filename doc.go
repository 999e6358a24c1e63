// Package crocushollow serves many models on a fleet of model engines.
//
// The package holds the nouns that every other package speaks: the rows that
// operators edit, the immutable Table built from them, the records kept in the
// platform's log and the small value types they are made of. It does no I/O and
// reads no clock. Decisions live in state, the parts that act with other
// instances in coordination, the request life cycle in protocol and everything
// that opens a socket in transport.
package crocushollow
