package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// largeAnswer is the size of an answer that takes a slow caller some seconds to read.
	largeAnswer = 512 << 10
	// slowChunk is what a slow caller reads each slowInterval, for slowTime. It reads the rest at once.
	slowChunk    = 4 << 10
	slowInterval = 250 * time.Millisecond
	slowTime     = 4500 * time.Millisecond
	// callerWindow is the caller's receive buffer.
	callerWindow = 64 << 10
	slowCallers  = 8
)

// playSlowReader has callers read their answers slowly, within their deadline. Each asks twice on one
// connection, first for a small answer.
func playSlowReader(s *stage, trouble bool) ([]string, error) {
	if _, err := s.addDesk("small-1", "small", "zone-0", 20*time.Millisecond, 800); err != nil {
		return nil, err
	}
	if _, err := s.addDesk("large-1", "large", "zone-0", 20*time.Millisecond, largeAnswer); err != nil {
		return nil, err
	}
	routes := []string{longRoute("small", "/small/", "small"), longRoute("large", "/large/", "large")}
	if _, err := s.putConfig(config(1, routes, []string{service("small", ""), service("large", "")}, limits, tenants)); err != nil {
		return nil, err
	}
	if err := s.startNodes(1); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second) // the machine is in touch
	results := make(chan error, slowCallers)
	for range slowCallers {
		go func() { results <- s.askOnKeptConnection(s.nodes[0], trouble) }()
	}
	cut := 0
	for range slowCallers {
		err := <-results
		if failure := (*setupError)(nil); errors.As(err, &failure) {
			return nil, err
		}
		if err != nil {
			cut++
		}
	}
	s.record("counted", "asked", slowCallers, "cut", cut)
	if cut > lostAllowance {
		return []string{fmt.Sprintf("%d of %d requests from kept connections ran at a sound server, and the node closed the connection in the middle of the answer", cut, slowCallers)}, nil
	}
	return nil, nil
}

// setupError reports a caller that could not ask.
type setupError struct{ err error }

// Error implements error.
func (e *setupError) Error() string { return "caller: " + e.err.Error() }

func (s *stage) askOnKeptConnection(n *node, slowly bool) error {
	conn, err := net.Dial("tcp", n.callers())
	if err != nil {
		return &setupError{err}
	}
	defer func() { _ = conn.Close() }()
	if err := conn.(*net.TCPConn).SetReadBuffer(callerWindow); err != nil {
		return &setupError{err}
	}
	in := bufio.NewReaderSize(conn, slowChunk)
	if err := s.ask(conn, in, "/small/1", false); err != nil {
		return &setupError{err}
	}
	return s.ask(conn, in, "/large/1", slowly)
}

// ask sends one request and reads its answer.
func (s *stage) ask(conn net.Conn, in *bufio.Reader, uri string, slowly bool) error {
	id := newID()
	s.record("sends", "request", id, "uri", uri, "slowly", slowly)
	began := time.Now()
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 8000\r\nAuthorization: Token k1\r\nContent-Length: 2\r\n\r\n{}", uri, callerHost, id)
	if err != nil {
		return err
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		s.record("gets", "request", id, "took", time.Since(began), "err", err)
		return err
	}
	got := int64(0)
	for slowly && err == nil && time.Since(began) < slowTime {
		n := int64(0)
		n, err = io.CopyN(io.Discard, resp.Body, slowChunk)
		got += n
		time.Sleep(slowInterval)
	}
	if err == nil {
		n := int64(0)
		n, err = io.Copy(io.Discard, resp.Body)
		got += n
	}
	s.record("gets", "request", id, "status", resp.StatusCode, "bytes", got, "of", resp.ContentLength, "took", time.Since(began), "err", err)
	return err
}
