package peer_test

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"citrontray.example/citrontray/internal/certs"
	"citrontray.example/citrontray/internal/peer"
)

// wrongCertificate presents another certificate than that of its own
// credentials.
type wrongCertificate struct {
	*certs.Material

	presented []tls.Certificate
}

func (w wrongCertificate) ClientTLS(protocol string) *tls.Config {
	config := w.Material.ClientTLS(protocol)
	config.Certificates = w.presented
	return config
}

// certificateWithoutIdentity issues a certificate of the authority in dir
// without the identity of a process.
func certificateWithoutIdentity(t *testing.T, dir string) tls.Certificate {
	t.Helper()
	ca, err := tls.LoadX509KeyPair(filepath.Join(dir, certs.AuthorityFile), filepath.Join(dir, certs.AuthorityKeyFile))
	assert.NilError(t, err)
	public, private, err := ed25519.GenerateKey(rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, ca.Leaf, public, ca.PrivateKey)
	assert.NilError(t, err)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}
}

func expiredCredentials(t *testing.T, dir string) *certs.Material {
	t.Helper()
	const age = 2 * 365 * 24 * time.Hour
	past := time.Now().Add(-age)
	roots, err := os.ReadFile(filepath.Join(dir, certs.AuthorityFile))
	assert.NilError(t, err)
	old := t.TempDir()
	assert.NilError(t, certs.CreateAuthority(past, old))
	assert.NilError(t, certs.IssueHost(past, old, "h9", "z1", []peer.Role{peer.RoleLead}, []netip.Addr{loopback}))
	// The server trusts this authority too, so that expiry is the only reason
	// to reject the certificate.
	added, err := os.ReadFile(filepath.Join(old, certs.AuthorityFile))
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(filepath.Join(dir, certs.AuthorityFile), append(roots, added...), 0o600))
	m, err := certs.Load(past, old, "h9", peer.RoleLead)
	assert.NilError(t, err)
	return m
}

// TestInvalidClientCertificatesRejected calls a lead process with invalid
// certificates.
func TestInvalidClientCertificatesRejected(t *testing.T) {
	tests := map[string]func(t *testing.T, dir string) peer.Credentials{
		"of another authority": func(t *testing.T, dir string) peer.Credentials {
			own, other := newCredentials(t, dir, "h2", peer.RoleLead), newCredentials(t, newAuthority(t), "h2", peer.RoleLead)
			return wrongCertificate{Material: own, presented: other.ClientTLS("").Certificates}
		},
		"without a certificate": func(t *testing.T, dir string) peer.Credentials {
			return wrongCertificate{Material: newCredentials(t, dir, "h2", peer.RoleLead)}
		},
		"without an identity": func(t *testing.T, dir string) peer.Credentials {
			return wrongCertificate{Material: newCredentials(t, dir, "h2", peer.RoleLead), presented: []tls.Certificate{certificateWithoutIdentity(t, dir)}}
		},
		"with an expired certificate": func(t *testing.T, dir string) peer.Credentials {
			old := expiredCredentials(t, dir)
			return wrongCertificate{Material: newCredentials(t, dir, "h2", peer.RoleLead), presented: old.ClientTLS("").Certificates}
		},
	}
	for name, newClient := range tests {
		t.Run(name, func(t *testing.T) {
			dir := newAuthority(t)
			credentials := newClient(t, dir)
			server := start(t, newCredentials(t, dir, "h1", peer.RoleLead), anyPort())
			for kind := peer.KindCell; kind <= peer.KindReach; kind++ {
				server.Handle(kind, echo)
			}
			client := start(t, credentials, anyPort())
			for kind := peer.KindCell; kind <= peer.KindReach; kind++ {
				_, err := client.Call(t.Context(), server.Addr(), kind, nil)
				assert.Assert(t, err != nil, "kind %d was served", kind)
			}
		})
	}
}

// TestInvalidServersNotCalled calls servers with invalid certificates or of the
// wrong role.
func TestInvalidServersNotCalled(t *testing.T) {
	dir := newAuthority(t)
	other := newAuthority(t)
	elsewhere := func(t *testing.T) peer.Credentials {
		t.Helper()
		ips := []netip.Addr{netip.MustParseAddr("10.9.9.9")}
		assert.NilError(t, certs.IssueHost(time.Now(), dir, "h3", "z1", []peer.Role{peer.RoleLead}, ips))
		m, err := certs.Load(time.Now(), dir, "h3", peer.RoleLead)
		assert.NilError(t, err)
		return m
	}
	tests := map[string]struct {
		server peer.Credentials
		want   error
	}{
		"of another authority":                      {server: newCredentials(t, other, "h1", peer.RoleLead), want: peer.ErrUnreachable},
		"with another IP address":                   {server: elsewhere(t), want: peer.ErrUnreachable},
		"an entry process called as a lead process": {server: newCredentials(t, dir, "h1", peer.RoleEntry), want: peer.ErrRefused},
	}
	client := start(t, newCredentials(t, dir, "h2", peer.RoleLead), anyPort())
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			server := start(t, tt.server, anyPort())
			server.Handle(peer.KindSync, echo)
			_, err := client.Call(t.Context(), server.Addr(), peer.KindSync, nil)
			assert.ErrorIs(t, err, tt.want)
		})
	}
}

// startFastUpkeep is start with an upkeep interval of 10 ms.
func startFastUpkeep(t *testing.T, m peer.Credentials) *peer.Peer {
	t.Helper()
	const upkeep = 10 * time.Millisecond
	p, err := peer.New(peer.Config{Listen: anyPort(), Credentials: m, UpkeepInterval: upkeep})
	assert.NilError(t, err)
	p.Handle(peer.KindSync, echo)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = p.Run(t.Context())
	}()
	t.Cleanup(func() { <-done })
	return p
}

func eventually(t *testing.T, condition string, check func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if check() {
			return poll.Success()
		}
		return poll.Continue("%s", condition)
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(5*time.Millisecond))
}

// TestRotationWithoutRestart replaces the authority and all certificates of
// running processes, then removes the old authority.
func TestRotationWithoutRestart(t *testing.T) {
	dir := newAuthority(t)
	first, second := newCredentials(t, dir, "h1", peer.RoleLead), newCredentials(t, dir, "h2", peer.RoleLead)
	oldDir := t.TempDir()
	assert.NilError(t, os.CopyFS(oldDir, os.DirFS(dir)))
	p1, p2 := startFastUpkeep(t, first), startFastUpkeep(t, second)
	assert.NilError(t, certs.IssueHost(time.Now(), oldDir, "h3", "z1", []peer.Role{peer.RoleLead}, []netip.Addr{loopback}))
	third, err := certs.Load(time.Now(), oldDir, "h3", peer.RoleLead)
	assert.NilError(t, err)
	stale := startFastUpkeep(t, third)
	works := func(from, to *peer.Peer) bool {
		_, err := from.Call(t.Context(), to.Addr(), peer.KindSync, nil)
		return err == nil
	}
	assert.Assert(t, works(p1, p2) && works(p2, p1) && works(stale, p1) && works(p1, stale))

	assert.NilError(t, certs.CreateAuthority(time.Now(), dir))
	assert.Assert(t, works(p1, p2) && works(p2, p1), "with both authorities")
	oldLeaf := leafOf(t, dir, "h1")
	newCredentials(t, dir, "h1", peer.RoleLead)
	newCredentials(t, dir, "h2", peer.RoleLead)
	assert.Assert(t, string(oldLeaf) != string(leafOf(t, dir, "h1")))
	eventually(t, "new certificates are in use", func() bool {
		return presents(first, leafOf(t, dir, "h1")) && presents(second, leafOf(t, dir, "h2"))
	})
	assert.Assert(t, works(p1, p2) && works(p2, p1), "with new certificates")

	assert.NilError(t, certs.RemoveOldAuthorities(dir))
	eventually(t, "the process with old credentials is rejected", func() bool { return !works(stale, p1) && !works(p1, stale) })
	eventually(t, "the other processes communicate", func() bool { return works(p1, p2) && works(p2, p1) })
	assert.Assert(t, !works(stale, p1) && !works(p1, stale))
}

func leafOf(t *testing.T, dir string, host string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(dir, host+".lead.pem"))
	assert.NilError(t, err)
	block, _ := pem.Decode(data)
	return block.Bytes
}

func presents(m *certs.Material, leaf []byte) bool {
	return string(m.ClientTLS("").Certificates[0].Certificate[0]) == string(leaf)
}
