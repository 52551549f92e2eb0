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

// Event is what happened outside, as the shell reports it to Cell.Handle.
type Event interface{ event() }

// DocReceived reports a committed document. Exists is false where the store
// answered that there is none. FromStore tells a read of the store from a
// copy that a peer sent. Epoch floors of the rows never fall.
type DocReceived struct {
	Exists    bool
	FromStore bool
	Doc       Doc
	Revision  platform.Revision
}

// WriteResult is the outcome of a compare-and-swap.
type WriteResult uint8

// The outcomes of a write. After WriteUnknown the core reads back.
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
// before the call was sent; Reached is false where the store did not answer.
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

// PeerReceived reports a message of another roster host of this cell.
type PeerReceived struct {
	From    place.Host
	Message Message
}

// FleetReceived reports the platform's lagging list, for this cell's zone.
type FleetReceived struct {
	Hosts   []place.HostRow
	Targets []place.TargetRow
}

// CustodyReceived reports which shards this cell has custody of, with the lowest
// epoch that each may be granted at, from the custody document.
type CustodyReceived struct {
	Revision platform.Revision
	Shards   []CustodyRow
}

// CustodyRow is one shard in the custody of this cell.
type CustodyRow struct {
	Shard key.Shard
	Floor grant.Epoch
}

// PlanReceived hands the cell the moves that placement wants now.
type PlanReceived struct{ Moves []PlannedMove }

// PlannedMove asks for one move or, with Cut set, for cutting the hot key Solo
// out of its shard first. With Join set it asks to put the solo key of that
// shard back into its parent.
type PlannedMove struct {
	Shard  key.Shard
	To     place.Target
	HotKey key.Hash
	Split  bool
	Merge  bool
}

// LossesDeclared reports the operators' declarations in force for this zone.
type LossesDeclared struct{ Losses []LossDeclaration }

// LossDeclaration is one declaration that a target or host is lost.
type LossDeclaration struct {
	Target place.Target
	Host   place.Host
	By     string
	Reason string
}

// DrainsReceived reports the targets that operators drain.
type DrainsReceived struct{ Targets []place.Target }

// ConfigChanged reports a changed configuration.
type ConfigChanged struct{ Config Config }

// StopRequested asks for a planned stop: hand over, then Stopped.
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

// Effect is what the shell has to do, as Handle and Tick return it.
type Effect interface{ effect() }

// ReadDoc asks for a read of the cell's document from the store.
type ReadDoc struct{}

// WriteDoc asks for a compare-and-swap of the cell's document.
type WriteDoc struct {
	Doc    Doc
	Expect platform.Revision
}

// AcquireLease asks to take or renew the cell's lease for Config.Self.
type AcquireLease struct{ TTL time.Duration }

// ReleaseLease asks to give up the cell's lease.
type ReleaseLease struct{}

// SendOrder asks to send one order; its outcome comes back as OrderDone.
type SendOrder struct {
	Target place.Target
	Addr   netip.AddrPort
	Order  grant.Order
}

// SendPeer asks to send a message to a host of this cell's roster.
type SendPeer struct {
	To      place.Host
	Message Message
}

// Publish hands out the routing table of the cell.
type Publish struct{ Table table.Table }

// Log asks for one line in the log.
type Log struct{ Text string }

// Stopped reports that the planned stop is complete.
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

// Message is what leads and roster hosts of one cell tell each other.
type Message interface{ message() }

// Heartbeat goes from a lead (or a deputy) to each roster host.
type Heartbeat struct {
	Term   grant.Term
	SentAt time.Time // by the sender's clock, returned in the promise
	Deputy bool
	// Revision is the newest document that the sender knows; the receiver
	// asks for it through the peers where it is older.
	Revision platform.Revision
	// Doc is the document of that revision, for a receiver known to be behind.
	Doc *Doc
}

// Activation is a standby that the lead made the owner while the store is out.
type Activation struct {
	Evidence grant.Evidence
	Shard    key.Shard
	To       TargetIndex
	Epoch    grant.Epoch
}

// Promise answers a heartbeat: until the promise's end, counted by the lead
// from SentAt, the sender neither leads nor renews here.
type Promise struct {
	Term        grant.Term
	SentAt      time.Time // copied from the heartbeat
	Incarnation place.Incarnation
	ReadStore   bool
	// Revision is the newest document that the sender knows.
	Revision platform.Revision
}

// HigherTerm answers a heartbeat of a lower term: its sender stops at once.
type HigherTerm struct{ Term grant.Term }

// Handover asks a roster host to take the lead: a planned stop.
type Handover struct{ Term grant.Term }

func (Heartbeat) message()  {}
func (Promise) message()    {}
func (HigherTerm) message() {}
func (Handover) message()   {}
