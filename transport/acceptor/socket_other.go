//go:build !linux

package acceptor

import (
	"errors"
	"syscall"
)

// refuseConnections fails, because other systems have no such binding.
func refuseConnections(_ syscall.RawConn) error { return errors.ErrUnsupported }

// acceptQueueLength fails, because other systems do not report the length.
func acceptQueueLength(_ syscall.RawConn) (int, error) { return 0, errors.ErrUnsupported }
