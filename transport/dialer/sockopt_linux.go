package dialer

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// bindWithoutPort makes the kernel choose the source port at connect time. A port
// chosen at bind time is not available for connections to any other destination,
// so a process with many connections would run out of ports.
func bindWithoutPort(conn syscall.RawConn) error {
	return setOption(conn, unix.IPPROTO_IP, unix.IP_BIND_ADDRESS_NO_PORT, 1)
}

// setUserTimeout limits how long sent data may stay unacknowledged.
func setUserTimeout(conn syscall.RawConn, timeout time.Duration) error {
	if timeout <= 0 {
		return nil
	}
	return setOption(conn, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
}

// LimitReceiveBuffer limits the memory for bytes that the process has not read. The kernel
// allows twice the size, and no longer grows the buffer by itself.
func LimitReceiveBuffer(conn syscall.RawConn, size int) error {
	if size <= 0 {
		return nil
	}
	return setOption(conn, unix.SOL_SOCKET, unix.SO_RCVBUF, size)
}

// LimitSendBuffer limits the memory for bytes that the peer has not acknowledged. The kernel
// allows twice the size.
func LimitSendBuffer(conn syscall.RawConn, size int) error {
	return setOption(conn, unix.SOL_SOCKET, unix.SO_SNDBUF, size)
}

func setOption(conn syscall.RawConn, level, option, value int) error {
	var optionErr error
	err := conn.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), level, option, value)
	})
	if err != nil {
		return err
	}
	return optionErr
}
