package config

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
)

// TLS returns a function that reads the certificate files on each call, so that
// renewed certificates take effect without a restart; nil if TLS is not
// configured. The files are also read once here, so that an invalid file is
// reported at startup.
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

// readTLS returns a configuration for mutual TLS: both sides must present a
// certificate that the authority has signed.
func readTLS(certificate, key, authority string) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, fmt.Errorf("reading the certificate %s and its key %s: %w", certificate, key, err)
	}
	pem, err := os.ReadFile(authority)
	if err != nil {
		return nil, fmt.Errorf("reading the certificate authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("reading the certificate authority: %s contains no certificate", authority)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
		RootCAs:      pool,
	}, nil
}
