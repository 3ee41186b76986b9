// This file parses and validates the content of the files.

package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"time"
)

const certificateBlockType = "CERTIFICATE"

func validate(files Files, read content, now time.Time) (tlsMaterial, error) {
	chain, err := parseCertificates(files.Certificate, read.certificate)
	if err != nil {
		return tlsMaterial{}, err
	}
	for _, certificate := range chain {
		if err := checkValidity(files.Certificate, certificate, now); err != nil {
			return tlsMaterial{}, err
		}
	}
	if block, _ := pem.Decode(read.key); block == nil {
		return tlsMaterial{}, Error{files.Key, NotPEM, ""}
	}
	pair, err := tls.X509KeyPair(read.certificate, read.key)
	if err != nil {
		return tlsMaterial{}, Error{files.Key, KeyMismatch, err.Error()}
	}
	pair.Leaf = chain[0]
	ca, err := parseCAPool(files.CA, read.ca, now)
	if err != nil {
		return tlsMaterial{}, err
	}
	return tlsMaterial{certificate: pair, caPool: ca}, nil
}

func parseCAPool(path string, data []byte, now time.Time) (*x509.CertPool, error) {
	if path == "" {
		return nil, nil
	}
	certificates, err := parseCertificates(path, data)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	for _, certificate := range certificates {
		if !certificate.IsCA {
			return nil, Error{path, NotCA, certificate.Subject.String()}
		}
		if err := checkValidity(path, certificate, now); err != nil {
			return nil, err
		}
		pool.AddCert(certificate)
	}
	return pool, nil
}

func parseCertificates(path string, data []byte) ([]*x509.Certificate, error) {
	var parsed []*x509.Certificate
	for block, rest := pem.Decode(data); block != nil; block, rest = pem.Decode(rest) {
		if block.Type != certificateBlockType {
			continue
		}
		certificate, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, Error{path, NotPEM, err.Error()}
		}
		parsed = append(parsed, certificate)
	}
	if len(parsed) == 0 {
		return nil, Error{path, NotPEM, ""}
	}
	return parsed, nil
}

func checkValidity(path string, certificate *x509.Certificate, now time.Time) error {
	if now.After(certificate.NotAfter) {
		return Error{path, Expired, "on " + certificate.NotAfter.UTC().Format(time.RFC3339)}
	}
	if now.Before(certificate.NotBefore) {
		return Error{path, NotYetValid, "before " + certificate.NotBefore.UTC().Format(time.RFC3339)}
	}
	return nil
}

// LoadCAPool reads a file with CA certificates, for clients without a certificate
// of their own. It checks their validity periods against now and returns an Error
// for the first problem.
func LoadCAPool(path string, now time.Time) (*x509.CertPool, error) {
	read, err := readFiles(Files{CA: path})
	if err != nil {
		return nil, err
	}
	return parseCAPool(path, read.ca, now)
}
