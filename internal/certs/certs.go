// Package certs issues and loads the certificates that authenticate the processes
// of a deployment to each other: a private certificate authority, and a
// certificate for each process that names its host, zone and role.
package certs

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"time"

	"citrontray.example/citrontray/internal/peer"
	"citrontray.example/citrontray/internal/place"
)

// Files of an authority. AuthorityFile holds several certificates while an
// authority is being replaced.
const (
	AuthorityFile    = "ca.pem"
	AuthorityKeyFile = "ca-key.pem"
)

const (
	uriScheme         = "citrontray"
	authorityLifetime = 10 * 365 * 24 * time.Hour
	hostLifetime      = 365 * 24 * time.Hour
	// clockSkew is how far the clock of a host may be behind the issuer's.
	clockSkew   = 10 * time.Minute
	serialBits  = 127
	privateMode = 0o600
	publicMode  = 0o644
	dirMode     = 0o755
)

// ErrIdentity is returned for a certificate that does not identify a process.
var ErrIdentity = errors.New("certs: certificate does not identify a process of the system")

// namePattern restricts host and zone names, which occur in file names and URIs.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// CertificateFile returns the file name of a process's certificate.
func CertificateFile(host place.Host, role peer.Role) string {
	return fmt.Sprintf("%s.%s.pem", host, role)
}

// KeyFile returns the file name of a process's private key.
func KeyFile(host place.Host, role peer.Role) string {
	return fmt.Sprintf("%s.%s-key.pem", host, role)
}

// CreateAuthority creates an authority in dir, valid from now. Certificates that
// AuthorityFile already holds are kept after the new one, so that hosts trust both
// until RemoveOldAuthorities is called.
func CreateAuthority(now time.Time, dir string) error {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return fmt.Errorf("certs: create authority: %w", err)
	}
	template, err := authorityTemplate(now)
	if err != nil {
		return err
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		return fmt.Errorf("certs: create authority: %w", err)
	}
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return fmt.Errorf("certs: create authority: %w", err)
	}
	bundle := encodeCertificate(der)
	old, err := os.ReadFile(filepath.Join(dir, AuthorityFile))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("certs: create authority: %w", err)
	}
	if err := writeKey(filepath.Join(dir, AuthorityKeyFile), private); err != nil {
		return err
	}
	return replaceFile(filepath.Join(dir, AuthorityFile), append(bundle, old...), publicMode)
}

// RemoveOldAuthorities removes all but the newest authority from dir's AuthorityFile.
func RemoveOldAuthorities(dir string) error {
	path := filepath.Join(dir, AuthorityFile)
	bundle, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("certs: remove old authorities: %w", err)
	}
	block, _ := pem.Decode(bundle)
	if block == nil {
		return fmt.Errorf("certs: remove old authorities: %s holds no certificate", path)
	}
	return replaceFile(path, pem.EncodeToMemory(block), publicMode)
}

// IssueHost issues a certificate and a key in dir for each role of a host, valid for
// the given IP addresses.
func IssueHost(now time.Time, dir string, host place.Host, zone place.Zone, roles []peer.Role, ips []netip.Addr) error {
	authority, err := loadAuthority(dir)
	if err != nil {
		return err
	}
	for _, role := range roles {
		id := peer.Identity{Host: host, Zone: zone, Role: role}
		if err := authority.issue(now, dir, id, ips); err != nil {
			return err
		}
	}
	return nil
}

// authority is a certificate with the key that signs others.
type authority struct {
	certificate *x509.Certificate
	key         ed25519.PrivateKey
}

func loadAuthority(dir string) (*authority, error) {
	bundle, err := readCertificates(filepath.Join(dir, AuthorityFile))
	if err != nil {
		return nil, err
	}
	key, err := readKey(filepath.Join(dir, AuthorityKeyFile))
	if err != nil {
		return nil, err
	}
	return &authority{certificate: bundle[0], key: key}, nil
}

func (a *authority) issue(now time.Time, dir string, id peer.Identity, ips []netip.Addr) error {
	uri, err := identityURI(id)
	if err != nil {
		return err
	}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return fmt.Errorf("certs: issue host certificate: %w", err)
	}
	template, err := hostTemplate(now, id, uri, ips)
	if err != nil {
		return err
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, public, a.key)
	if err != nil {
		return fmt.Errorf("certs: issue host certificate: %w", err)
	}
	if err := writeKey(filepath.Join(dir, KeyFile(id.Host, id.Role)), private); err != nil {
		return err
	}
	return replaceFile(filepath.Join(dir, CertificateFile(id.Host, id.Role)), encodeCertificate(der), publicMode)
}

func authorityTemplate(now time.Time) (*x509.Certificate, error) {
	serial, err := newSerial()
	if err != nil {
		return nil, err
	}
	return &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: fmt.Sprintf("citrontray authority %x", serial.Bytes()[:4])},
		NotBefore:             now.Add(-clockSkew),
		NotAfter:              now.Add(authorityLifetime),
		IsCA:                  true,
		MaxPathLenZero:        true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}, nil
}

func hostTemplate(now time.Time, id peer.Identity, uri *url.URL, ips []netip.Addr) (*x509.Certificate, error) {
	serial, err := newSerial()
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: string(id.Host)},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(hostLifetime),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		URIs:         []*url.URL{uri},
	}
	for _, ip := range ips {
		template.IPAddresses = append(template.IPAddresses, ip.AsSlice())
	}
	return template, nil
}

func newSerial() (*big.Int, error) {
	limit := new(big.Int).Lsh(big.NewInt(1), serialBits)
	serial, err := rand.Int(rand.Reader, limit)
	if err != nil {
		return nil, fmt.Errorf("certs: serial number: %w", err)
	}
	// The authority's common name contains the first four bytes of its serial number.
	// The top bit is set so that every number has at least four.
	return serial.SetBit(serial, serialBits, 1), nil
}

// identityURI returns the URI of a process: citrontray:///zone/host/role.
func identityURI(id peer.Identity) (*url.URL, error) {
	for _, name := range []string{string(id.Host), string(id.Zone)} {
		if !namePattern.MatchString(name) {
			return nil, fmt.Errorf("certs: %q is not a valid host or zone name", name)
		}
	}
	if !knownRole(id.Role) {
		return nil, fmt.Errorf("certs: unknown role %q", id.Role)
	}
	path := strings.Join([]string{"", string(id.Zone), string(id.Host), string(id.Role)}, "/")
	return &url.URL{Scheme: uriScheme, Path: path}, nil
}

func knownRole(role peer.Role) bool {
	return role == peer.RoleEntry || role == peer.RoleLead || role == peer.RoleOperator
}

// Identity returns the host, zone and role that a verified certificate names.
func Identity(certificate *x509.Certificate) (peer.Identity, error) {
	if len(certificate.URIs) != 1 || certificate.URIs[0].Scheme != uriScheme {
		return peer.Identity{}, ErrIdentity
	}
	parts := strings.Split(strings.TrimPrefix(certificate.URIs[0].Path, "/"), "/")
	const partCount = 3
	if len(parts) != partCount {
		return peer.Identity{}, ErrIdentity
	}
	id := peer.Identity{Zone: place.Zone(parts[0]), Host: place.Host(parts[1]), Role: peer.Role(parts[2])}
	if _, err := identityURI(id); err != nil {
		return peer.Identity{}, ErrIdentity
	}
	return id, nil
}
