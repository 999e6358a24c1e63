package acceptor

import (
	"math"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// refuseConnections binds a listening socket to an interface that does not exist, so that the
// kernel answers a SYN as if no socket listened. Handshakes under way and established
// connections keep the binding with which they began. A SYN that the kernel handles during the
// call may be dropped; its caller is refused when it repeats the SYN. The kernel asks for no
// privilege if the socket has not been bound to an interface before.
func refuseConnections(conn syscall.RawConn) error {
	const noInterface = math.MaxInt32
	return control(conn, func(fd int) error {
		return os.NewSyscallError("bind to no interface",
			unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_BINDTOIFINDEX, noInterface))
	})
}

// acceptQueueLength returns the number of established connections that a listening socket
// has not accepted.
func acceptQueueLength(conn syscall.RawConn) (length int, err error) {
	err = control(conn, func(fd int) error {
		// The kernel reports the accept queue in this field of a listening socket.
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			length = int(info.Unacked)
		}
		return err
	})
	return length, err
}

func control(conn syscall.RawConn, call func(fd int) error) error {
	var callErr error
	if err := conn.Control(func(fd uintptr) { callErr = call(int(fd)) }); err != nil {
		return err
	}
	return callErr
}
