package cell

import (
	"net/netip"
	"time"

	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/table"
)

// Event is an input of Cell.Handle.
type Event interface{ event() }

// DocReceived reports a committed document. Exists is false if the store
// responded that there is none. FromStore is true for a read of the store and
// false for a copy sent by a peer. From one revision to the next, the epoch of a
// shard never falls.
type DocReceived struct {
	Exists    bool
	FromStore bool
	Doc       Doc
	Revision  platform.Revision
}

// WriteResult is the outcome of a compare-and-swap.
type WriteResult uint8

// WriteConflict and WriteUnavailable mean that this attempt was not committed. After
// WriteUnknown it may have been, and the document is read to find out.
const (
	WriteCommitted WriteResult = iota
	WriteConflict
	WriteUnknown
	WriteUnavailable
)

// WriteDone reports the outcome of a WriteDoc effect.
type WriteDone struct {
	WriteID  string
	Result   WriteResult
	Revision platform.Revision
}

// LeaseDone reports the outcome of an AcquireLease effect. SentAt is the time
// just before the call was sent. Reached is false if the store did not respond.
type LeaseDone struct {
	SentAt  time.Time
	Reached bool
	Held    bool
}

// OrderDone reports the outcome of a SendOrder effect.
type OrderDone struct {
	Target   place.Target
	SentAt   time.Time
	Reached  bool
	Response grant.Response
}

// PeerReceived reports a message from another host of this cell.
type PeerReceived struct {
	From    place.Host
	Message Message
}

// FleetReceived reports the platform's lists of the hosts and targets of this
// cell's zone, which lag behind the actual state.
type FleetReceived struct {
	Hosts   []place.HostRow
	Targets []place.TargetRow
}

// CustodyReceived reports which shards are in this cell's custody by the custody
// document, with the lowest epoch at which each may be granted.
type CustodyReceived struct {
	Revision platform.Revision
	Shards   []CustodyRow
}

// CustodyRow is a shard in the custody of a cell and the lowest epoch at which it
// may be granted.
type CustodyRow struct {
	Shard key.Shard
	Floor grant.Epoch
}

// PlanReceived reports the moves that placement asks for.
type PlanReceived struct{ Moves []PlannedMove }

// PlannedMove asks to move a shard to a target. With Split set it asks to split
// HotKey off the shard first, and to move only the key. With Merge set it asks to
// merge the single-key shard back into its parent shard.
type PlannedMove struct {
	Shard  key.Shard
	To     place.Target
	HotKey key.Hash
	Split  bool
	Merge  bool
}

// LossesDeclared reports the loss declarations in force for this zone.
type LossesDeclared struct{ Losses []LossDeclaration }

// LossDeclaration is an operator's declaration that a target or host is lost.
type LossDeclaration struct {
	Target place.Target
	Host   place.Host
	By     string
	Reason string
}

// DrainsReceived reports the targets that operators have ordered to be drained.
type DrainsReceived struct{ Targets []place.Target }

// ConfigChanged reports a changed configuration.
type ConfigChanged struct{ Config Config }

// StopRequested asks for a graceful stop: a handover, then the effect Stopped.
type StopRequested struct{}

func (DocReceived) event()     {}
func (WriteDone) event()       {}
func (LeaseDone) event()       {}
func (OrderDone) event()       {}
func (PeerReceived) event()    {}
func (FleetReceived) event()   {}
func (CustodyReceived) event() {}
func (PlanReceived) event()    {}
func (LossesDeclared) event()  {}
func (DrainsReceived) event()  {}
func (ConfigChanged) event()   {}
func (StopRequested) event()   {}

// Effect is an action that the caller of Handle or Tick has to carry out.
type Effect interface{ effect() }

// ReadDoc asks for a read of the cell's document from the store.
type ReadDoc struct{}

// WriteDoc asks for a compare-and-swap of the cell's document.
type WriteDoc struct {
	Doc    Doc
	Expect platform.Revision
}

// AcquireLease asks to acquire or renew the cell's lease for Config.Self.
type AcquireLease struct{ TTL time.Duration }

// ReleaseLease asks to release the cell's lease.
type ReleaseLease struct{}

// SendOrder asks to send an order, whose outcome is reported by OrderDone.
type SendOrder struct {
	Target place.Target
	Addr   netip.AddrPort
	Order  grant.Order
}

// SendPeer asks to send a message to another host of this cell.
type SendPeer struct {
	To      place.Host
	Message Message
}

// Publish asks to publish the cell's routing table.
type Publish struct{ Table table.Table }

// Log asks to write a line to the log.
type Log struct{ Text string }

// Stopped reports that the graceful stop is complete.
type Stopped struct{}

func (ReadDoc) effect()      {}
func (WriteDoc) effect()     {}
func (AcquireLease) effect() {}
func (ReleaseLease) effect() {}
func (SendOrder) effect()    {}
func (SendPeer) effect()     {}
func (Publish) effect()      {}
func (Log) effect()          {}
func (Stopped) effect()      {}

// Message is a message between two hosts of a cell.
type Message interface{ message() }

// Heartbeat is sent by a leader or deputy to ask a peer for a promise.
type Heartbeat struct {
	Term   grant.Term
	SentAt time.Time // by the sender's clock, echoed in the promise
	Deputy bool
	// Revision is that of the newest document that the sender has.
	Revision platform.Revision
	// Doc is the document of that revision, set if the receiver is known to have
	// an older one.
	Doc *Doc
}

// Activation is a standby that the leader made the owner during a store outage.
type Activation struct {
	Evidence grant.Evidence
	Shard    key.Shard
	To       TargetIndex
	Epoch    grant.Epoch
}

// Promise answers a heartbeat. Until it expires, the sender neither leads nor
// renews grants in this cell. The leader counts its duration from SentAt.
type Promise struct {
	Term        grant.Term
	SentAt      time.Time // copied from the heartbeat
	Incarnation place.Incarnation
	ReadStore   bool
	// Revision is that of the newest document that the sender has.
	Revision platform.Revision
}

// HigherTerm answers a heartbeat of a lower term, whose sender then steps down.
type HigherTerm struct{ Term grant.Term }

// Handover asks a roster host to become the leader, as the sender stops.
type Handover struct{ Term grant.Term }

func (Heartbeat) message()  {}
func (Promise) message()    {}
func (HigherTerm) message() {}
func (Handover) message()   {}
