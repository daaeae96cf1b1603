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

// stopTimeout bounds the wait for gnet's event loop to end.
const stopTimeout = 5 * time.Second

// gnetConn receives on a gnet event loop. gnet sends only from inside an event
// callback, while heartbeats start outside of one; so sends go through a
// duplicate of the same socket, which keeps the source address.
type gnetConn struct {
	gnet.BuiltinEventEngine

	engine  gnet.Engine
	sender  *net.UDPConn
	take    atomic.Pointer[func(packet []byte, from string)]
	booted  chan error
	stopped chan struct{}

	closeOnce sync.Once
	closeErr  error
}

func listenGnet(addr string, log *slog.Logger) (*gnetConn, error) {
	if err := checkFree(addr); err != nil {
		return nil, &ConfigError{Field: "datagram address", Cause: err}
	}
	c := &gnetConn{booted: make(chan error, 1), stopped: make(chan struct{})}
	go func() {
		defer close(c.stopped)
		err := gnet.Run(c, "udp://"+addr, gnet.WithNumEventLoop(1), gnet.WithLogger(gnetLogger{log}))
		if err == nil {
			err = errors.New("event loop ended")
		}
		select {
		case c.booted <- err:
		default:
		}
	}()
	if err := <-c.booted; err != nil {
		<-c.stopped
		return nil, &ConfigError{Field: "datagram address", Cause: err}
	}
	return c, nil
}

// checkFree fails when addr is in use. gnet binds UDP sockets so that several
// processes may share one address, and the kernel then splits the datagrams
// among them: a process started twice would halve what each hears and nobody
// would be told. A plain bind refuses that.
func checkFree(addr string) error {
	local, err := netip.ParseAddrPort(addr)
	if err != nil {
		return err
	}
	probe, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return err
	}
	return probe.Close()
}

// OnBoot implements gnet.EventHandler.
func (c *gnetConn) OnBoot(engine gnet.Engine) gnet.Action {
	c.engine = engine
	sender, err := dupUDP(engine)
	if err != nil {
		c.booted <- err
		return gnet.Shutdown
	}
	c.sender = sender
	c.booted <- nil
	return gnet.None
}

func dupUDP(engine gnet.Engine) (*net.UDPConn, error) {
	fd, err := engine.Dup()
	if err != nil {
		return nil, errors.Wrap(err, "duplicate socket")
	}
	file := os.NewFile(uintptr(fd), "datagrams")
	defer func() { _ = file.Close() }()
	conn, err := net.FilePacketConn(file)
	if err != nil {
		return nil, errors.Wrap(err, "duplicate socket")
	}
	return conn.(*net.UDPConn), nil
}

// OnTraffic implements gnet.EventHandler; it runs once for each packet.
func (c *gnetConn) OnTraffic(conn gnet.Conn) gnet.Action {
	packet, err := conn.Next(-1)
	if err != nil {
		return gnet.None
	}
	if take := c.take.Load(); take != nil {
		(*take)(packet, conn.RemoteAddr().String())
	}
	return gnet.None
}

func (c *gnetConn) WriteTo(packet []byte, addr string) error {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return err
	}
	_, err = c.sender.WriteToUDPAddrPort(packet, to)
	return err
}

func (c *gnetConn) Receive(take func(packet []byte, from string)) { c.take.Store(&take) }

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

// gnetLogger passes gnet's own lines on as structured ones.
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
