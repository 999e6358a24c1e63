//go:build !linux

package dialer

import (
	"syscall"
	"time"
)

// bindWithoutPort does nothing: other systems choose the port at connect time, or
// do not have the option.
func bindWithoutPort(_ syscall.RawConn) error { return nil }

// setUserTimeout does nothing, because other systems do not have the option.
func setUserTimeout(_ syscall.RawConn, _ time.Duration) error { return nil }

// LimitReceiveBuffer does nothing: the sizes and their meaning differ between systems.
func LimitReceiveBuffer(_ syscall.RawConn, _ int) error { return nil }

// LimitSendBuffer does nothing: the sizes and their meaning differ between systems.
func LimitSendBuffer(_ syscall.RawConn, _ int) error { return nil }
