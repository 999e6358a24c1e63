package acceptor

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// ignoreHandshakes attaches a filter to a listening socket that drops the segments that
// begin a handshake. The data of a TCP socket's filter begins at the TCP header.
func ignoreHandshakes(conn syscall.RawConn) error {
	const (
		flagsOffset = 13
		synFlag     = 0x02
		acceptAll   = 0xffffffff
	)
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
		{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, K: synFlag, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: acceptAll},
	}
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	return control(conn, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
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
