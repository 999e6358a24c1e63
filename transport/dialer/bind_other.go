//go:build !linux

package dialer

import "syscall"

// bindLate does nothing where the system chooses ports late by itself or not
// at all.
func bindLate(_, _ string, _ syscall.RawConn) error { return nil }
