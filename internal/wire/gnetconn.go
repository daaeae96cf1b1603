package wire

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/panjf2000/gnet/v2"
)

// stopTimeout limits the wait for gnet's event loop to end.
const stopTimeout = 5 * time.Second

// gnetConn receives on a gnet event loop. gnet can send only within an event callback,
// but heartbeats are sent outside of one. Sends therefore use a duplicate of the same
// socket, so that the source address is the same.
type gnetConn struct {
	gnet.BuiltinEventEngine

	engine  gnet.Engine
	sender  *net.UDPConn
	handler atomic.Pointer[func(packet []byte, from string)]
	started chan error
	stopped chan struct{}

	closeOnce sync.Once
	closeErr  error
}

func listenGnet(addr string, log *slog.Logger) (*gnetConn, error) {
	if err := checkAddrUnused(addr); err != nil {
		return nil, &ConfigError{Field: "datagram address", Cause: err}
	}
	c := &gnetConn{started: make(chan error, 1), stopped: make(chan struct{})}
	go func() {
		defer close(c.stopped)
		err := gnet.Run(c, "udp://"+addr, gnet.WithNumEventLoop(1), gnet.WithLogger(gnetLogger{log}))
		if err == nil {
			err = errors.New("event loop ended")
		}
		select {
		case c.started <- err:
		default:
		}
	}()
	if err := <-c.started; err != nil {
		<-c.stopped
		return nil, &ConfigError{Field: "datagram address", Cause: err}
	}
	return c, nil
}

// checkAddrUnused returns an error if addr is in use. gnet binds UDP sockets so that
// several processes can share an address, and the kernel then distributes the datagrams
// among them: if a process were started twice, each would receive only a part of them,
// without an error. A plain bind fails in this case.
func checkAddrUnused(addr string) error {
	local, err := netip.ParseAddrPort(addr)
	if err != nil {
		return err
	}
	listener, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return err
	}
	return listener.Close()
}

// OnBoot implements gnet.EventHandler.
func (c *gnetConn) OnBoot(engine gnet.Engine) gnet.Action {
	c.engine = engine
	sender, err := duplicateSocket(engine)
	if err != nil {
		c.started <- err
		return gnet.Shutdown
	}
	c.sender = sender
	c.started <- nil
	return gnet.None
}

func duplicateSocket(engine gnet.Engine) (*net.UDPConn, error) {
	fd, err := engine.Dup()
	if err != nil {
		return nil, errors.Wrap(err, "duplicate UDP socket")
	}
	file := os.NewFile(uintptr(fd), "datagrams")
	defer func() { _ = file.Close() }()
	conn, err := net.FilePacketConn(file)
	if err != nil {
		return nil, errors.Wrap(err, "duplicate UDP socket")
	}
	return conn.(*net.UDPConn), nil
}

// OnTraffic implements gnet.EventHandler. It is called once for each packet.
func (c *gnetConn) OnTraffic(conn gnet.Conn) gnet.Action {
	packet, err := conn.Next(-1)
	if err != nil {
		return gnet.None
	}
	if handler := c.handler.Load(); handler != nil {
		(*handler)(packet, conn.RemoteAddr().String())
	}
	return gnet.None
}

func (c *gnetConn) WriteTo(packet []byte, addr string) error {
	addrPort, err := netip.ParseAddrPort(addr)
	if err != nil {
		return err
	}
	_, err = c.sender.WriteToUDPAddrPort(packet, addrPort)
	return err
}

func (c *gnetConn) Receive(handler func(packet []byte, from string)) { c.handler.Store(&handler) }

func (c *gnetConn) Addr() string { return c.sender.LocalAddr().String() }

func (c *gnetConn) Close() error {
	c.closeOnce.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		c.closeErr = c.engine.Stop(ctx)
		<-c.stopped
		_ = c.sender.Close()
	})
	return c.closeErr
}

// gnetLogger writes gnet's log messages to a structured logger.
type gnetLogger struct{ log *slog.Logger }

func (l gnetLogger) Debugf(format string, args ...any) {
	l.log.Debug("gnet", "detail", fmt.Sprintf(format, args...))
}

func (l gnetLogger) Infof(format string, args ...any) {
	l.log.Debug("gnet", "detail", fmt.Sprintf(format, args...))
}

func (l gnetLogger) Warnf(format string, args ...any) {
	l.log.Warn("gnet", "detail", fmt.Sprintf(format, args...))
}

func (l gnetLogger) Errorf(format string, args ...any) {
	l.log.Error("gnet", "detail", fmt.Sprintf(format, args...))
}

func (l gnetLogger) Fatalf(format string, args ...any) {
	l.log.Error("gnet", "detail", fmt.Sprintf(format, args...))
}
