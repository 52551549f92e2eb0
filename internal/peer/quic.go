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
	// maxTimeout bounds how long a message may be worked on.
	maxTimeout = time.Minute
	// defaultTimeout holds for a call whose context has no deadline.
	defaultTimeout        = 5 * time.Second
	handshakeTimeout      = 2 * time.Second
	idleTimeout           = 6 * time.Second
	keepAlivePeriod       = 2 * time.Second
	defaultUpkeepInterval = 2 * time.Second
	// verifyInterval is the time between two checks that the certificates of
	// open connections are still in their period; new keys check them at once.
	verifyInterval = 30 * time.Second
	// unusedTimeout is how long a connection without calls is kept.
	unusedTimeout = time.Minute
	// maxInbound bounds the connections that others opened.
	maxInbound = 4096
	// maxStreams bounds the messages at once on one connection.
	maxStreams = 256
	// windowBytes is the first flow-control window of a stream; it grows to
	// maxWindowBytes where a long message needs it.
	windowBytes    = 32 << 10
	maxWindowBytes = 1 << 20
	// packetBytes is the size that every path carries (RFC 9000, 14.1). Larger
	// ones are not probed for: a probe that is lost on the way looks like a
	// full link.
	packetBytes = 1200
)

// The codes with which connections and streams are closed.
const (
	codeClosed    quic.ApplicationErrorCode = 0
	codeDenied    quic.ApplicationErrorCode = 1
	codeUnused    quic.ApplicationErrorCode = 2
	codeTooMany   quic.ApplicationErrorCode = 3
	streamClosed  quic.StreamErrorCode      = 1
	streamExpired quic.StreamErrorCode      = 2
)

// ErrUnreachable is returned where nothing was sent: there is no connection.
var ErrUnreachable = errors.New("peer: unreachable")

// ErrNoResponse is returned where the message may have arrived but no whole answer
// came back.
var ErrNoResponse = errors.New("peer: answer lost")

// ErrClosed is returned after Close.
var ErrClosed = errors.New("peer: closed")

// Credentials are the certificates of this process and the authorities that it
// trusts. *keys.Material implements it.
type Credentials interface {
	Self() Identity
	Reload(now time.Time) (bool, error)
	Verify(now time.Time, chain []*x509.Certificate) (Identity, error)
	ClientTLS(protocol string) *tls.Config
	ServerTLS(protocol string) *tls.Config
	ResetSecret() [sha256.Size]byte
}

// Config is what a Peer needs.
type Config struct {
	// Listen is the UDP address to bind; the zero value takes a free port.
	Listen netip.AddrPort
	// Conn is used in place of Listen where it is set.
	Conn net.PacketConn
	Keys Credentials
	Log  *slog.Logger
	// UpkeepInterval is the time between two looks at key files and connections;
	// zero stands for 2 s.
	UpkeepInterval time.Duration
	// Partitioned, where set, reports whether this process is cut off from an
	// address. Tests and the lab use it.
	Partitioned func(to netip.AddrPort) bool
}

// Peer is the link of one process to all others. It implements Link.
type Peer struct {
	keys           Credentials
	log            *slog.Logger
	partitioned    func(netip.AddrPort) bool
	upkeepInterval time.Duration
	transport      *quic.Transport
	listener       *quic.Listener
	ctx            context.Context
	cancel         context.CancelFunc
	// accepting is the loop that takes connections, serving the loops over
	// connections of others, work all that answers messages.
	accepting   sync.WaitGroup
	connections sync.WaitGroup
	handling    sync.WaitGroup

	closeOnce sync.Once
	closeErr  error // the result, once closing is done

	mu         sync.Mutex
	handlers   map[Kind]Handler
	remotes    map[netip.AddrPort]*remote
	inbound    map[*connection]struct{}
	lastVerify time.Time
}

var _ Transport = (*Peer)(nil)

// New binds the socket. Calls work from then on; Run serves those of others.
func New(cfg Config) (*Peer, error) {
	conn := cfg.Conn
	if conn == nil {
		bound, err := listen(cfg.Listen)
		if err != nil {
			return nil, err
		}
		conn = bound
	}
	if cfg.Log == nil {
		cfg.Log = logging.Nop()
	}
	reset := quic.StatelessResetKey(cfg.Keys.ResetSecret())
	p := &Peer{
		keys:           cfg.Keys,
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

// quicConfig returns the QUIC configuration; only the side that dialled keeps a
// connection alive.
func quicConfig(keepAlivePeriod time.Duration) *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idleTimeout,
		KeepAlivePeriod:                keepAlivePeriod,
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

// Handle implements Link.
func (p *Peer) Handle(kind Kind, handler Handler) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handlers[kind] = handler
}

// Run serves messages and follows the key files until ctx ends or Close.
func (p *Peer) Run(ctx context.Context) error {
	if p.listener != nil {
		p.accepting.Go(p.acceptLoop)
	}
	p.upkeepLoop(ctx)
	return p.Close()
}

// Close ends all connections, telling the other sides, and frees the socket.
//
// Closing the transport tells nobody. A side that was not told goes on sending
// on its connection, to the process that comes next at this address, and never
// learns whether its messages were taken. So no connection may be left by then:
// the listener is closed first, the sessions end themselves.
//
// Run closes as well, once Close has told it to end; who comes second waits for
// the first, so that the address is free when either returns.
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

// closeRemotes ends the connections that this process opened.
func (p *Peer) closeRemotes() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.remotes {
		r.close(codeClosed)
	}
}

// upkeepLoop looks after keys and connections until the end.
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

// upkeep reloads the keys, then ends what they no longer allow and what
// nobody uses.
func (p *Peer) upkeep(now time.Time) {
	changed, err := p.keys.Reload(now)
	if err != nil {
		p.log.Warn("Keys not reloaded, the old ones stay.", slog.Any("error", err))
	}
	if changed {
		p.log.Info("Keys reloaded.")
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

// verifyAll ends the connections whose certificates are no longer valid. The
// caller holds mu.
func (p *Peer) verifyAll(now time.Time) {
	for s := range p.inbound {
		if _, err := p.keys.Verify(now, s.chain); err != nil {
			p.log.Warn("Connection ended, its certificate is no longer valid.", slog.String("host", string(s.identity.Host)))
			s.close(codeDenied)
		}
	}
	for _, r := range p.remotes {
		r.verify(now)
	}
}
