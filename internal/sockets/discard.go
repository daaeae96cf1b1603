package sockets

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// DiscardUnacknowledged has the next Close of a connection drop the data that its peer has not acknowledged,
// which the kernel would go on sending, and reset the connection. It changes nothing if there is none.
func DiscardUnacknowledged(conn syscall.Conn) error {
	info, err := tcpInfo(conn)
	if err != nil || info.Unacked == 0 && info.Notsent_bytes == 0 {
		return err
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}
