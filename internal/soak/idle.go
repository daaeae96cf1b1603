package soak

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// idleGauges are the metrics of a node that are 0 while it has no call.
var idleGauges = []string{
	"fennel_entry_open_calls", "fennel_relay_running_attempts", "fennel_relay_limited_requests", "fennel_routing_outstanding_requests",
	"fennel_memory_used_bytes",
}

const (
	// idleTimeout is how long a node may take after the last call until it counts none: attempts that were
	// given up may last until their route's timeout.
	idleTimeout      = 6 * time.Second
	idlePollInterval = 50 * time.Millisecond
)

// checkIdle finds the nodes that still count calls though there are none.
func (env *Environment) checkIdle() (findings []string) {
	deadline := time.Now().Add(idleTimeout)
	for _, n := range env.nodes {
		for {
			counted, err := n.countedCalls()
			if err == nil && len(counted) == 0 {
				break
			}
			if time.Now().After(deadline) {
				findings = append(findings, fmt.Sprintf("%s counts calls though there are none: %s (error: %v)", n.name, strings.Join(counted, ", "), err))
				break
			}
			time.Sleep(idlePollInterval)
		}
	}
	return findings
}

// countedCalls returns those of idleGauges that are not 0, with their values.
func (n *node) countedCalls() ([]string, error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callTimeout}
	resp, err := client.Get("http://" + n.metricsAddr() + "/metrics")
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	return readCounted(resp.Body)
}

// readCounted returns those of idleGauges in a node's metrics that are not 0, and an error if one is
// missing.
func readCounted(metrics io.Reader) (counted []string, err error) {
	missing := slices.Clone(idleGauges)
	lines := bufio.NewScanner(metrics)
	for lines.Scan() {
		name, text, _ := strings.Cut(lines.Text(), " ")
		at := slices.Index(missing, name)
		if at < 0 {
			continue
		}
		missing = slices.Delete(missing, at, at+1)
		if value, err := strconv.ParseFloat(text, 64); err != nil || value != 0 {
			counted = append(counted, name+"="+text)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, err
	}
	if len(missing) > 0 {
		return nil, fmt.Errorf("the node has no metric %s", missing[0])
	}
	return counted, nil
}
