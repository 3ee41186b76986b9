// This file implements the certificate of the daemons' API and the operators'
// token.

package table

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/vanetiller/vanetiller/internal/tenant"
)

const (
	certificateLifetime = 24 * time.Hour
	fileMode            = 0o600
	requestTimeout      = 10 * time.Second
)

// identity holds the files that all daemons share, and what operators need.
type identity struct {
	certificatePath string
	keyPath         string
	tokensPath      string
	token           tenant.Token
	client          *http.Client
}

// newIdentity writes a certificate that is valid for the addresses, its key and
// a file with one token.
func newIdentity(directory string, addresses []netip.Addr) (*identity, error) {
	created := &identity{
		certificatePath: filepath.Join(directory, "certificate.pem"),
		keyPath:         filepath.Join(directory, "key.pem"),
		tokensPath:      filepath.Join(directory, "tokens.toml"),
		token:           tenant.NewToken(),
	}
	certificate, err := created.writeCertificate(addresses)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	pool.AddCert(certificate)
	created.client = &http.Client{
		Timeout:   requestTimeout,
		Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}},
	}
	return created, created.writeTokens()
}

func (i *identity) writeCertificate(addresses []netip.Addr) (*x509.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "key")
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		NotBefore:             time.Now().Add(-time.Minute),
		NotAfter:              time.Now().Add(certificateLifetime),
		IsCA:                  true,
		BasicConstraintsValid: true,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	for _, address := range addresses {
		template.IPAddresses = append(template.IPAddresses, net.IP(address.AsSlice()))
	}
	encoded, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "certificate")
	}
	encodedKey, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, errors.Wrap(err, "key")
	}
	if err := writePEM(i.certificatePath, "CERTIFICATE", encoded); err != nil {
		return nil, err
	}
	if err := writePEM(i.keyPath, "PRIVATE KEY", encodedKey); err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(encoded)
	return certificate, errors.Wrap(err, "certificate")
}

func writePEM(path, kind string, content []byte) error {
	encoded := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content})
	return errors.Wrap(os.WriteFile(path, encoded, fileMode), "certificate files")
}

func (i *identity) writeTokens() error {
	text := "[[team]]\nname = \"gateway\"\nrequests_per_second = 10000.0\nburst = 100000\n" +
		"[[token]]\nname = \"operator\"\nteam = \"gateway\"\nrole = \"editor\"\nhash = \"" + i.token.Hash().String() + "\"\n"
	return errors.Wrap(os.WriteFile(i.tokensPath, []byte(text), fileMode), "tokens")
}
