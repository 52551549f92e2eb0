package peer

import (
	"cmp"
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"citrontray.example/citrontray/internal/logging"
)

const (
	// maxTimeout bounds the handling of a message.
	maxTimeout = time.Minute
	// defaultTimeout is the timeout of a call whose context has no deadline.
	defaultTimeout        = 5 * time.Second
	handshakeTimeout      = 2 * time.Second
	idleTimeout           = 6 * time.Second
	keepAlivePeriod       = 2 * time.Second
	defaultUpkeepInterval = 2 * time.Second
	// verifyInterval is the time between two checks of whether the certificates
	// of open connections are still valid; they are also checked whenever the
	// credentials change.
	verifyInterval = 30 * time.Second
	// unusedTimeout is how long a connection without calls is kept open.
	unusedTimeout = time.Minute
	// maxInbound bounds the connections that other processes opened.
	maxInbound = 4096
	// maxStreams bounds the messages in flight on one connection.
	maxStreams = 256
	// windowBytes is the initial flow-control window of a stream; it grows to
	// maxWindowBytes for large messages.
	windowBytes    = 32 << 10
	maxWindowBytes = 1 << 20
	// packetBytes is the packet size that every path supports (RFC 9000, 14.1).
	// Path MTU discovery is off: a lost probe would look like congestion.
	packetBytes = 1200
)

// The codes that connections and streams are closed with.
const (
	codeClosed    quic.ApplicationErrorCode = 0
	codeDenied    quic.ApplicationErrorCode = 1
	codeUnused    quic.ApplicationErrorCode = 2
	codeTooMany   quic.ApplicationErrorCode = 3
	streamClosed  quic.StreamErrorCode      = 1
	streamExpired quic.StreamErrorCode      = 2
)

// ErrUnreachable is returned where nothing was sent, as there is no connection.
var ErrUnreachable = errors.New("peer: unreachable")

// ErrNoResponse is returned where the message may have arrived but no complete
// response was received.
var ErrNoResponse = errors.New("peer: no complete response")

// ErrClosed is returned after Close.
var ErrClosed = errors.New("peer: closed")

// Credentials are the certificates of this process and the authorities that it
// trusts. *certs.Material implements it.
type Credentials interface {
	Self() Identity
	Reload(now time.Time) (bool, error)
	Verify(now time.Time, chain []*x509.Certificate) (Identity, error)
	ClientTLS(protocol string) *tls.Config
	ServerTLS(protocol string) *tls.Config
	ResetSecret() [sha256.Size]byte
}

// Config configures a Peer.
type Config struct {
	// Listen is the UDP address to bind; the zero value selects a free port.
	Listen netip.AddrPort
	// Conn, where set, is used instead of Listen.
	Conn        net.PacketConn
	Credentials Credentials
	Log         *slog.Logger
	// UpkeepInterval is the time between two checks of the key files and of
	// unused connections; zero selects 2 s.
	UpkeepInterval time.Duration
	// Partitioned, where set, reports whether to simulate a network partition
	// from an address. Tests and the lab use it.
	Partitioned func(to netip.AddrPort) bool
}

// Peer is the QUIC transport of one process. It implements Transport.
type Peer struct {
	keys           Credentials
	log            *slog.Logger
	partitioned    func(netip.AddrPort) bool
	upkeepInterval time.Duration
	transport      *quic.Transport
	listener       *quic.Listener
	ctx            context.Context
	cancel         context.CancelFunc
	// accepting is the loop that accepts connections, connections the loops of
	// the accepted ones, handling the messages being handled.
	accepting   sync.WaitGroup
	connections sync.WaitGroup
	handling    sync.WaitGroup

	closeOnce sync.Once
	closeErr  error // the result of Close, set once closeOnce is done

	mu         sync.Mutex
	handlers   map[Kind]Handler
	remotes    map[netip.AddrPort]*remote
	inbound    map[*connection]struct{}
	lastVerify time.Time
}

var _ Transport = (*Peer)(nil)

// New binds the socket. Calls are possible from then on; Run accepts
// connections.
func New(cfg Config) (*Peer, error) {
	conn := cfg.Conn
	if conn == nil {
		socket, err := listen(cfg.Listen)
		if err != nil {
			return nil, err
		}
		conn = socket
	}
	if cfg.Log == nil {
		cfg.Log = logging.Nop()
	}
	reset := quic.StatelessResetKey(cfg.Credentials.ResetSecret())
	p := &Peer{
		keys:           cfg.Credentials,
		log:            logging.Component(cfg.Log, "peer"),
		partitioned:    cfg.Partitioned,
		upkeepInterval: cmp.Or(cfg.UpkeepInterval, defaultUpkeepInterval),
		transport:      &quic.Transport{Conn: conn, StatelessResetKey: &reset},
		handlers:       make(map[Kind]Handler),
		remotes:        make(map[netip.AddrPort]*remote),
		inbound:        make(map[*connection]struct{}),
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	if p.keys.Self().Role == RoleOperator {
		return p, nil
	}
	listener, err := p.transport.Listen(p.keys.ServerTLS(Protocol), quicConfig(0))
	if err != nil {
		return nil, fmt.Errorf("peer: listen: %w", errors.Join(err, conn.Close()))
	}
	p.listener = listener
	return p, nil
}

func listen(at netip.AddrPort) (net.PacketConn, error) {
	var local *net.UDPAddr
	if at.IsValid() {
		local = net.UDPAddrFromAddrPort(at)
	}
	conn, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, fmt.Errorf("peer: listen: %w", err)
	}
	return conn, nil
}

// quicConfig returns the QUIC configuration. Only the side that dialed sends
// keep-alives.
func quicConfig(period time.Duration) *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idleTimeout,
		KeepAlivePeriod:                period,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          -1,
		InitialPacketSize:              packetBytes,
		DisablePathMTUDiscovery:        true,
		InitialStreamReceiveWindow:     windowBytes,
		MaxStreamReceiveWindow:         maxWindowBytes,
		InitialConnectionReceiveWindow: 2 * windowBytes,
		MaxConnectionReceiveWindow:     2 * maxWindowBytes,
	}
}

// Addr returns the address that the socket is bound to.
func (p *Peer) Addr() netip.AddrPort {
	addr, ok := p.transport.Conn.LocalAddr().(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	bound := addr.AddrPort()
	return netip.AddrPortFrom(bound.Addr().Unmap(), bound.Port())
}

// Self returns the identity of this process.
func (p *Peer) Self() Identity { return p.keys.Self() }

// Handle implements Transport.
func (p *Peer) Handle(kind Kind, handler Handler) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handlers[kind] = handler
}

// Run accepts connections, reloads changed credentials and closes unused
// connections, until ctx ends or Close is called.
func (p *Peer) Run(ctx context.Context) error {
	if p.listener != nil {
		p.accepting.Go(p.acceptLoop)
	}
	p.upkeepLoop(ctx)
	return p.Close()
}

// Close closes all connections, which notifies the other processes, and frees
// the socket.
//
// Closing the QUIC transport alone doesn't notify the other processes. A
// process that isn't notified keeps sending on its connection, to the next
// process at this address, and the outcome of its calls is unknown. So no
// connection may be left by then: the listener is closed first, and each
// connection is closed by its own loop.
//
// Run calls Close too, once its context or the peer has ended. The second
// caller waits for the first, so that the address is free when either returns.
func (p *Peer) Close() error {
	p.closeOnce.Do(func() { p.closeErr = p.close() })
	return p.closeErr
}

func (p *Peer) close() error {
	var errs []error
	if p.listener != nil {
		errs = append(errs, p.listener.Close())
	}
	p.accepting.Wait()
	p.cancel()
	p.closeRemotes()
	p.connections.Wait()
	errs = append(errs, p.transport.Close())
	p.handling.Wait()
	errs = append(errs, p.transport.Conn.Close())
	if err := errors.Join(errs...); err != nil {
		return fmt.Errorf("peer: close: %w", err)
	}
	return nil
}

// closeRemotes closes the connections that this process opened.
func (p *Peer) closeRemotes() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.remotes {
		r.close(codeClosed)
	}
}

// upkeepLoop runs upkeep at each upkeepInterval until ctx ends or the peer is
// closed.
func (p *Peer) upkeepLoop(ctx context.Context) {
	ticker := time.NewTicker(p.upkeepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.ctx.Done():
			return
		case now := <-ticker.C:
			p.upkeep(now)
		}
	}
}

// upkeep reloads the credentials, then closes the connections that they no
// longer allow and those that are unused.
func (p *Peer) upkeep(now time.Time) {
	changed, err := p.keys.Reload(now)
	if err != nil {
		p.log.Warn("Credentials could not be reloaded, the old ones stay in use.", slog.Any("error", err))
	}
	if changed {
		p.log.Info("Credentials reloaded.")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if changed || now.Sub(p.lastVerify) >= verifyInterval {
		p.lastVerify = now
		p.verifyAll(now)
	}
	for addr, r := range p.remotes {
		if !r.upkeep(now) {
			delete(p.remotes, addr)
		}
	}
}

// verifyAll closes the connections whose certificates are no longer valid. The
// caller holds mu.
func (p *Peer) verifyAll(now time.Time) {
	for c := range p.inbound {
		if _, err := p.keys.Verify(now, c.chain); err != nil {
			p.log.Warn("Connection closed, its certificate is no longer valid.", slog.String("host", string(c.identity.Host)))
			c.close(codeDenied)
		}
	}
	for _, r := range p.remotes {
		r.verify(now)
	}
}
