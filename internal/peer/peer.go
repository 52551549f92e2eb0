// Package peer carries messages between the processes of the system over QUIC
// with mutual TLS from the operator's own authority.
package peer

import (
	"context"
	"net/netip"

	"citrontray.example/citrontray/internal/place"
)

// Role tells the processes of one host apart.
type Role string

// The roles of processes that meet over the peer link.
const (
	RoleEntry Role = "entry"
	RoleLead  Role = "lead"
	// RoleOperator is the command line.
	RoleOperator Role = "operator"
)

// Identity is who the other side is, by its certificate.
type Identity struct {
	Host place.Host
	Zone place.Zone
	Role Role
}

// Kind selects the handler of a message.
type Kind uint8

// The kinds of messages.
const (
	KindCell    Kind = iota + 1 // between leads and roster hosts of a cell
	KindSync                    // documents by revision
	KindLoad                    // load reports from entries to leads
	KindStatus                  // status of a process
	KindForward                 // a request handed to another entry host
)

// Handler answers one message.
type Handler func(ctx context.Context, from Identity, body []byte) ([]byte, error)

// Transport sends messages to peers and serves theirs. Safe for concurrent use.
type Transport interface {
	// Call sends one message and waits for the answer.
	Call(ctx context.Context, to netip.AddrPort, kind Kind, body []byte) ([]byte, error)
	// Handle sets the handler of a kind; call it before serving.
	Handle(kind Kind, handler Handler)
}
