package config

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
)

// TLS returns a function that reads the certificate files anew for each use,
// so that keys are renewed without a restart; nil if no TLS is configured. The
// files are read once here, so that a bad one is found at the start.
func (c *Common) TLS() (func() (*tls.Config, error), error) {
	if c.Certificate == "" {
		return nil, nil
	}
	read := func() (*tls.Config, error) { return readTLS(c.Certificate, c.CertificateKey, c.Authority) }
	if _, err := read(); err != nil {
		return nil, err
	}
	return read, nil
}

// readTLS returns a configuration in which both sides must show a certificate
// that the authority has signed.
func readTLS(certificate, key, authority string) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, fmt.Errorf("reading the certificate %s: %w", certificate, err)
	}
	pem, err := os.ReadFile(authority)
	if err != nil {
		return nil, fmt.Errorf("reading the authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("reading the authority: %s holds no certificate", authority)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
		RootCAs:      pool,
	}, nil
}
