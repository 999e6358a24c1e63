//go:build !linux

package acceptor

import (
	"errors"
	"syscall"
)

// ignoreHandshakes fails, because other systems have no such filter.
func ignoreHandshakes(_ syscall.RawConn) error { return errors.ErrUnsupported }

// acceptQueueLength fails, because other systems do not report the length.
func acceptQueueLength(_ syscall.RawConn) (int, error) { return 0, errors.ErrUnsupported }
