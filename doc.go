// Package crocushollow serves many models on a fleet of model engines.
//
// It defines the domain types that all other packages share: the rows that
// operators edit, the immutable Table built from them, the records in the
// platform's log, and the value types that these consist of. It does no I/O and
// reads no clock. Package state contains the decision logic, coordination the
// interaction between instances, protocol the request life cycle, and transport
// everything that opens a socket.
package crocushollow
