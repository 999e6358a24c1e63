package dialer

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// bindLate lets the system choose the source port when the destination is
// known. A port chosen before that is taken from all destinations, so that a
// busy process runs out of ports.
func bindLate(_, _ string, conn syscall.RawConn) error {
	var failed error
	err := conn.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_BIND_ADDRESS_NO_PORT, 1)
	})
	if err != nil {
		return err
	}
	return failed
}
