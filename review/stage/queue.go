package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// queueCallers call at once, more than the queue of new connections holds.
	queueCallers = 12
	// queuePause is how long the server accepts no connection, restTime the rest that it asks for.
	queuePause = 50 * time.Millisecond
	restTime   = 5 * time.Second
	// restReaction is the time after which a node that was asked for rest may send restAllowance requests.
	restReaction  = 500 * time.Millisecond
	restAllowance = 2
)

// queueListener has a queue of new connections of the smallest size, and accepts none while it is paused.
type queueListener struct {
	net.Listener
	paused chan struct{} // closed once it accepts
}

// Accept implements net.Listener.
func (l queueListener) Accept() (net.Conn, error) {
	<-l.paused
	return l.Listener.Accept()
}

// setSmallestQueue sets the size of the listener's queue of new connections.
func setSmallestQueue(l net.Listener) error {
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), 0) }); err != nil {
		return err
	}
	return listenErr
}

// playFullQueue has many users come at once, so that the queue of new connections of a server is full and
// opening packets are sent again after a second. The server asks the node for rest meanwhile.
func playFullQueue(s *stage, trouble bool) ([]string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	accepts := make(chan struct{})
	if trouble {
		if err := setSmallestQueue(listener); err != nil {
			return nil, err
		}
	}
	d := &desk{id: "desk-1", service: "desk", listener: queueListener{listener, accepts}, restTime: restTime}
	s.startDesk(d, "zone-0")
	routes, services := []string{plainRoute("pay", "/pay/", "desk")}, []string{service("desk", "")}
	if _, err := s.putConfig(config(1, routes, services, limits, tenants)); err != nil {
		return nil, err
	}
	if err := s.startNodes(1); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second) // the machine is in touch
	var callers sync.WaitGroup
	for range queueCallers {
		callers.Go(func() {
			s.call(newClient(), s.nodes[0], request{method: http.MethodPost, uri: "/pay/7", key: "k1", body: []byte(`{}`), deadline: 4 * time.Second})
		})
	}
	time.AfterFunc(queuePause, func() { close(accepts) })
	callers.Wait()
	late := d.arrivalsInRest()
	s.record("counted", "callers", queueCallers, "late", late)
	if late > restAllowance {
		return []string{fmt.Sprintf("%d requests reached a server half a second and more after it had asked the node for rest", late)}, nil
	}
	return nil, nil
}
