// Package vnet is a fake network between the inner HTTP servers of nodes, for tests in
// virtual time.
//
// # Usage
//
//	n := vnet.New(25 * time.Millisecond)
//	a := n.Start("a", handler) // the address is "a:1"
//	client := &http.Client{Transport: a}
package vnet

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Net is a network.
type Net struct {
	roundTrip time.Duration
	mu        sync.Mutex
	nodes     map[string]*Node
}

// Node is a node and the transport of its calls to other nodes.
type Node struct {
	net     *Net
	handler http.Handler
	silent  bool
	cut     bool
}

// New returns a network with the round-trip time between any two nodes.
func New(roundTrip time.Duration) *Net {
	return &Net{roundTrip: roundTrip, nodes: make(map[string]*Node)}
}

// Start adds a node, or replaces the one with the same name.
func (n *Net) Start(name string, handler http.Handler) *Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	node := &Node{net: n, handler: handler}
	n.nodes[name] = node
	return node
}

// Stop removes a node. Calls to it fail.
func (n *Net) Stop(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.nodes, name)
}

// SetSilent makes the node answer no calls, as a frozen one does.
func (n *Node) SetSilent(silent bool) {
	n.net.mu.Lock()
	defer n.net.mu.Unlock()
	n.silent = silent
}

// IsSilent reports whether the node answers no calls.
func (n *Node) IsSilent() bool {
	n.net.mu.Lock()
	defer n.net.mu.Unlock()
	return n.silent
}

// SetCut makes all calls from and to the node get lost.
func (n *Node) SetCut(cut bool) {
	n.net.mu.Lock()
	defer n.net.mu.Unlock()
	n.cut = cut
}

// RoundTrip implements [http.RoundTripper].
func (n *Node) RoundTrip(req *http.Request) (*http.Response, error) {
	time.Sleep(n.net.roundTrip / 2)
	n.net.mu.Lock()
	to := n.net.nodes[req.URL.Hostname()]
	lost := to != nil && (n.cut || to.cut || to.silent)
	n.net.mu.Unlock()
	if to == nil {
		return nil, errors.New("connection refused")
	}
	if lost {
		<-req.Context().Done()
		return nil, req.Context().Err()
	}
	rec := httptest.NewRecorder()
	to.handler.ServeHTTP(rec, req)
	time.Sleep(n.net.roundTrip / 2)
	if err := req.Context().Err(); err != nil {
		return nil, err
	}
	return rec.Result(), nil
}
