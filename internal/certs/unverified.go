package certs

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"time"

	"citrontray.example/citrontray/internal/peer"
)

// Unverified holds the self-signed certificate of a process in a deployment without
// an authority. Connections are encrypted, but anyone on the network can claim to be
// a host. It is meant for networks that the platform isolates.
type Unverified struct {
	self        peer.Identity
	certificate tls.Certificate
}

// NewUnverified creates a certificate for this incarnation of a process.
func NewUnverified(now time.Time, self peer.Identity) (*Unverified, error) {
	uri, err := identityURI(self)
	if err != nil {
		return nil, err
	}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("certs: create self-signed certificate: %w", err)
	}
	template, err := hostTemplate(now, self, uri, nil)
	if err != nil {
		return nil, err
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		return nil, fmt.Errorf("certs: create self-signed certificate: %w", err)
	}
	return &Unverified{self: self, certificate: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}}, nil
}

// Self implements peer.Credentials.
func (u *Unverified) Self() peer.Identity { return u.self }

// Reload implements peer.Credentials.
func (u *Unverified) Reload(time.Time) (bool, error) { return false, nil }

// Verify implements peer.Credentials. It accepts any certificate that names a
// process.
func (u *Unverified) Verify(_ time.Time, chain []*x509.Certificate) (peer.Identity, error) {
	if len(chain) == 0 {
		return peer.Identity{}, ErrIdentity
	}
	return Identity(chain[0])
}

// ResetSecret implements peer.Credentials. The secret is the same in the next incarnation
// of the process, so that a stateless reset ends the peers' old connections at once.
func (u *Unverified) ResetSecret() [sha256.Size]byte {
	return sha256.Sum256([]byte(resetLabel + "\x00" + string(u.self.Host)))
}

// ClientTLS implements peer.Credentials.
func (u *Unverified) ClientTLS(protocol string) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{protocol},
		Certificates:       []tls.Certificate{u.certificate},
		InsecureSkipVerify: true, // there is no authority to verify against
	}
}

// ServerTLS implements peer.Credentials.
func (u *Unverified) ServerTLS(protocol string) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{protocol},
		ClientAuth:             tls.RequireAnyClientCert,
		Certificates:           []tls.Certificate{u.certificate},
		SessionTicketsDisabled: true,
	}
}
