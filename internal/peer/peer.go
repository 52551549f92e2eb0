// Package peer sends messages between the processes of the system over QUIC
// with mutual TLS, with certificates of the operator's own authority.
package peer

import (
	"context"
	"net/netip"

	"citrontray.example/citrontray/internal/place"
)

// Role is the kind of a process. It decides which messages the process may send
// and serve.
type Role string

// The roles of processes that communicate over peer connections.
const (
	RoleEntry Role = "entry"
	RoleLead  Role = "lead"
	// RoleOperator is the operator's command line.
	RoleOperator Role = "operator"
)

// Identity is the identity of a process, as its certificate states it.
type Identity struct {
	Host place.Host
	Zone place.Zone
	Role Role
}

// Kind selects the handler of a message.
type Kind uint8

// The kinds of messages.
const (
	KindCell   Kind = iota + 1 // between a cell's leader and its roster hosts
	KindSync                   // documents of package docsync
	KindLoad                   // load reports from entry processes to leaders
	KindStatus                 // status of a process
	KindRelay                  // a request forwarded to another entry host
	KindReach                  // whether a host reaches a target
)

// Handler handles one message and returns the response.
type Handler func(ctx context.Context, from Identity, body []byte) ([]byte, error)

// Transport sends messages to peers and handles theirs. It is safe for
// concurrent use.
type Transport interface {
	// Call sends one message and waits for the response.
	Call(ctx context.Context, to netip.AddrPort, kind Kind, body []byte) ([]byte, error)
	// Handle sets the handler of a kind. It must be called before messages are
	// served.
	Handle(kind Kind, handler Handler)
}
