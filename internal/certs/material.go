package certs

import (
	"crypto/ed25519"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"path/filepath"
	"sync/atomic"
	"time"

	"citrontray.example/citrontray/internal/peer"
	"citrontray.example/citrontray/internal/place"
)

// ErrMismatch is returned if a certificate does not match its key or its process, or
// does not verify against the trusted authorities.
var ErrMismatch = errors.New("certs: certificate, key and authority do not match")

// resetLabel separates the reset secret from other uses of the private key.
const resetLabel = "citrontray stateless reset"

// Material holds the trusted authorities and the certificate of one process. Reload
// updates it from the files. It is safe for concurrent use.
type Material struct {
	dir     string
	host    place.Host
	role    peer.Role
	current atomic.Pointer[snapshot]
}

// snapshot is the content of the files at one time.
type snapshot struct {
	identity    peer.Identity
	roots       *x509.CertPool
	certificate tls.Certificate
	digest      [sha256.Size]byte
	reset       [sha256.Size]byte
}

// Load loads the files of one process from dir and verifies that they match and are
// valid at now.
func Load(now time.Time, dir string, host place.Host, role peer.Role) (*Material, error) {
	m := &Material{dir: dir, host: host, role: role}
	if _, err := m.Reload(now); err != nil {
		return nil, err
	}
	return m, nil
}

// Reload reads the files again and reports whether they changed. On an error it
// keeps the loaded ones, so that a partially copied file does not break connections.
func (m *Material) Reload(now time.Time) (bool, error) {
	next, err := m.read(now)
	if err != nil {
		return false, err
	}
	last := m.current.Load()
	if last != nil && last.digest == next.digest {
		return false, nil
	}
	m.current.Store(next)
	return true, nil
}

func (m *Material) read(now time.Time) (*snapshot, error) {
	authorities, err := readCertificates(filepath.Join(m.dir, AuthorityFile))
	if err != nil {
		return nil, err
	}
	chain, err := readCertificates(filepath.Join(m.dir, CertificateFile(m.host, m.role)))
	if err != nil {
		return nil, err
	}
	key, err := readKey(filepath.Join(m.dir, KeyFile(m.host, m.role)))
	if err != nil {
		return nil, err
	}
	next := &snapshot{roots: x509.NewCertPool()}
	sum := sha256.New()
	for _, authority := range authorities {
		next.roots.AddCert(authority)
		sum.Write(authority.Raw)
	}
	next.certificate = tls.Certificate{PrivateKey: key, Leaf: chain[0]}
	for _, certificate := range chain {
		next.certificate.Certificate = append(next.certificate.Certificate, certificate.Raw)
		sum.Write(certificate.Raw)
	}
	sum.Write(key.Seed())
	sum.Sum(next.digest[:0])
	next.reset = sha256.Sum256(append([]byte(resetLabel), key.Seed()...))
	if public, ok := chain[0].PublicKey.(ed25519.PublicKey); !ok || !public.Equal(key.Public()) {
		return nil, fmt.Errorf("%w: key of host %s", ErrMismatch, m.host)
	}
	if next.identity, err = next.verify(now, chain); err != nil {
		return nil, err
	}
	if next.identity.Host != m.host || next.identity.Role != m.role {
		return nil, fmt.Errorf("%w: certificate names host %s", ErrMismatch, next.identity.Host)
	}
	return next, nil
}

// Self returns the identity in the process's own certificate.
func (m *Material) Self() peer.Identity { return m.current.Load().identity }

// ResetSecret returns a secret that stays the same across restarts of the process.
func (m *Material) ResetSecret() [sha256.Size]byte { return m.current.Load().reset }

// Verify verifies a certificate chain, leaf first, against the trusted authorities
// and returns the identity that the leaf names.
func (m *Material) Verify(now time.Time, chain []*x509.Certificate) (peer.Identity, error) {
	return m.current.Load().verify(now, chain)
}

func (g *snapshot) verify(now time.Time, chain []*x509.Certificate) (peer.Identity, error) {
	if len(chain) == 0 {
		return peer.Identity{}, ErrIdentity
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range chain[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         g.roots,
		Intermediates: intermediates,
		CurrentTime:   now,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	})
	if err != nil {
		return peer.Identity{}, fmt.Errorf("%w: %w", ErrMismatch, err)
	}
	return Identity(chain[0])
}

// ClientTLS returns the configuration of one outgoing connection, with the files as
// loaded now.
func (m *Material) ClientTLS(protocol string) *tls.Config {
	g := m.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocol},
		RootCAs:      g.roots,
		Certificates: []tls.Certificate{g.certificate},
	}
}

// OperatorTLS returns the configuration of the operators' listener. It requests no
// client certificate, as operators authenticate by a bearer credential. Each
// handshake uses the files as loaded at that time.
func (m *Material) OperatorTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &m.current.Load().certificate, nil
		},
	}
}

// AuthorityPool reads the certificates of an AuthorityFile, for programs without a
// certificate of their own.
func AuthorityPool(path string) (*x509.CertPool, error) {
	authorities, err := readCertificates(path)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	for _, authority := range authorities {
		pool.AddCert(authority)
	}
	return pool, nil
}

// ServerTLS returns the configuration of a listener. Each handshake uses the files as
// loaded at that time; session resumption is disabled.
func (m *Material) ServerTLS(protocol string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			g := m.current.Load()
			return &tls.Config{
				MinVersion:             tls.VersionTLS13,
				NextProtos:             []string{protocol},
				ClientAuth:             tls.RequireAndVerifyClientCert,
				ClientCAs:              g.roots,
				Certificates:           []tls.Certificate{g.certificate},
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}
