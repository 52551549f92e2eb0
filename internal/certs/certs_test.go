package certs_test

import (
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/certs"
	"citrontray.example/citrontray/internal/peer"
	"citrontray.example/citrontray/internal/place"
)

var (
	now      = time.Date(2030, 1, 2, 3, 4, 5, 0, time.UTC)
	loopback = []netip.Addr{netip.MustParseAddr("127.0.0.1")}
	roles    = []peer.Role{peer.RoleLead, peer.RoleEntry}
)

const year = 365 * 24 * time.Hour

func newDir(t *testing.T, host place.Host) string {
	t.Helper()
	dir := t.TempDir()
	assert.NilError(t, certs.CreateAuthority(now, dir))
	assert.NilError(t, certs.IssueHost(now, dir, host, "zone-a", roles, loopback))
	return dir
}

func TestLoadReturnsIdentity(t *testing.T) {
	dir := newDir(t, "h1")
	for _, role := range roles {
		m, err := certs.Load(now, dir, "h1", role)
		assert.NilError(t, err)
		assert.Equal(t, m.Self(), peer.Identity{Host: "h1", Zone: "zone-a", Role: role})
	}
}

func TestPrivateKeyFileMode(t *testing.T) {
	dir := newDir(t, "h1")
	for _, name := range []string{certs.AuthorityKeyFile, certs.KeyFile("h1", peer.RoleLead)} {
		info, err := os.Stat(filepath.Join(dir, name))
		assert.NilError(t, err)
		assert.Equal(t, info.Mode().Perm(), os.FileMode(0o600))
	}
}

func TestLoadRejects(t *testing.T) {
	certificate := certs.CertificateFile("h1", peer.RoleLead)
	tests := map[string]struct {
		at     time.Time
		damage func(t *testing.T, dir string)
	}{
		"expired certificate":   {at: now.Add(2 * year), damage: func(*testing.T, string) {}},
		"not yet valid":         {at: now.Add(-year), damage: func(*testing.T, string) {}},
		"no authority":          {at: now, damage: removeFile(certs.AuthorityFile)},
		"no certificate":        {at: now, damage: removeFile(certificate)},
		"no key":                {at: now, damage: removeFile(certs.KeyFile("h1", peer.RoleLead))},
		"truncated certificate": {at: now, damage: truncateFile(certificate)},
		"key of another role":   {at: now, damage: renameFile(certs.KeyFile("h1", peer.RoleEntry), certs.KeyFile("h1", peer.RoleLead))},
		"certificate of another role": {at: now, damage: func(t *testing.T, dir string) {
			renameFile(certs.KeyFile("h1", peer.RoleEntry), certs.KeyFile("h1", peer.RoleLead))(t, dir)
			renameFile(certs.CertificateFile("h1", peer.RoleEntry), certificate)(t, dir)
		}},
		"another authority": {at: now, damage: func(t *testing.T, dir string) {
			assert.NilError(t, certs.CreateAuthority(now, dir))
			assert.NilError(t, certs.RemoveOldAuthorities(dir))
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			dir := newDir(t, "h1")
			tt.damage(t, dir)
			_, err := certs.Load(tt.at, dir, "h1", peer.RoleLead)
			assert.Assert(t, err != nil)
		})
	}
}

func removeFile(name string) func(*testing.T, string) {
	return func(t *testing.T, dir string) {
		t.Helper()
		assert.NilError(t, os.Remove(filepath.Join(dir, name)))
	}
}

func truncateFile(name string) func(*testing.T, string) {
	return func(t *testing.T, dir string) {
		t.Helper()
		assert.NilError(t, os.Truncate(filepath.Join(dir, name), 100))
	}
}

func renameFile(from, to string) func(*testing.T, string) {
	return func(t *testing.T, dir string) {
		t.Helper()
		assert.NilError(t, os.Rename(filepath.Join(dir, from), filepath.Join(dir, to)))
	}
}

func TestIssueHostRejectsNames(t *testing.T) {
	for name, host := range map[string]place.Host{"empty": "", "path": "../h1", "slash": "a/b", "space": "a b"} {
		t.Run(name, func(t *testing.T) {
			err := certs.IssueHost(now, newDir(t, "h1"), host, "zone-a", roles, loopback)
			assert.ErrorContains(t, err, "is not a valid host or zone name")
		})
	}
}

// TestReloadKeepsCurrentOnError damages a file while it is in use: Reload must keep
// the loaded certificates, and load the file once it is valid again.
func TestReloadKeepsCurrentOnError(t *testing.T) {
	dir := newDir(t, "h1")
	m, err := certs.Load(now, dir, "h1", peer.RoleLead)
	assert.NilError(t, err)
	changed, err := m.Reload(now)
	assert.NilError(t, err)
	assert.Assert(t, !changed)
	truncateFile(certs.AuthorityFile)(t, dir)
	changed, err = m.Reload(now)
	assert.Assert(t, err != nil)
	assert.Assert(t, !changed)
	assert.Equal(t, m.Self().Host, place.Host("h1"))
	removeFile(certs.AuthorityFile)(t, dir)
	assert.NilError(t, certs.CreateAuthority(now, dir))
	assert.NilError(t, certs.IssueHost(now, dir, "h1", "zone-a", roles, loopback))
	changed, err = m.Reload(now)
	assert.NilError(t, err)
	assert.Assert(t, changed)
}
