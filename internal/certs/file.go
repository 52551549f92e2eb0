package certs

import (
	"crypto/ed25519"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"os"
)

const (
	certificateBlock = "CERTIFICATE"
	keyBlock         = "PRIVATE KEY"
)

var errKeyFormat = errors.New("not an Ed25519 private key in PEM")

func encodeCertificate(der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: certificateBlock, Bytes: der})
}

func writeKey(path string, key ed25519.PrivateKey) error {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return fmt.Errorf("certs: write %s: %w", path, err)
	}
	return replaceFile(path, pem.EncodeToMemory(&pem.Block{Type: keyBlock, Bytes: der}), privateMode)
}

// replaceFile writes a file atomically, so that readers never see a partial file.
func replaceFile(path string, data []byte, mode os.FileMode) error {
	next := path + ".new"
	if err := os.WriteFile(next, data, mode); err != nil {
		return fmt.Errorf("certs: write %s: %w", path, err)
	}
	if err := os.Rename(next, path); err != nil {
		return fmt.Errorf("certs: write %s: %w", path, err)
	}
	return nil
}

func readKey(path string) (ed25519.PrivateKey, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("certs: %w", err)
	}
	block, _ := pem.Decode(data)
	if block == nil {
		return nil, fmt.Errorf("certs: %s: %w", path, errKeyFormat)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, fmt.Errorf("certs: %s: %w", path, err)
	}
	key, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return nil, fmt.Errorf("certs: %s: %w", path, errKeyFormat)
	}
	return key, nil
}

// readCertificates returns the certificates of a file, at least one.
func readCertificates(path string) ([]*x509.Certificate, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("certs: %w", err)
	}
	var out []*x509.Certificate
	for block, rest := pem.Decode(data); block != nil; block, rest = pem.Decode(rest) {
		if block.Type != certificateBlock {
			continue
		}
		certificate, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, fmt.Errorf("certs: %s: %w", path, err)
		}
		out = append(out, certificate)
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("certs: %s contains no certificate", path)
	}
	return out, nil
}
