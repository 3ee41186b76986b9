// Package tlsfiles builds the TLS configurations of servers and clients from PEM
// files with a certificate, its key and CA certificates. The files may be replaced
// while the process runs. The package decides whether new content is valid and may
// be used.
//
// A Reloader holds the last valid content. Its Reload method reads the files again
// and keeps the previous content if the new one is invalid.
package tlsfiles

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Files holds the paths of the PEM files.
type Files struct {
	// Certificate is the file with the certificate of this process, followed by
	// any intermediate certificates.
	Certificate string
	// Key is the file with the private key of the certificate.
	Key string
	// CA is the file with the CA certificates that verify the peer. If it is
	// empty, servers request no client certificate, and clients verify servers
	// against the CA certificates of the system.
	CA string
}

// Problem is the reason why a file cannot be used.
type Problem string

// The problems that Error reports.
const (
	Unreadable  Problem = "cannot be read"
	NotPEM      Problem = "holds no certificate or key in PEM form"
	KeyMismatch Problem = "does not belong to the certificate"
	Expired     Problem = "has expired"
	NotYetValid Problem = "is not valid yet"
	NotCA       Problem = "holds a certificate that may not sign others"
)

// Error reports a file that cannot be used, and why.
type Error struct {
	File    string
	Problem Problem
	// Detail gives the cause or the violated validity bound. It may be empty.
	Detail string
}

// Error implements error.
func (e Error) Error() string {
	text := e.File + ": " + string(e.Problem)
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	return text
}

// content holds the raw content of the files.
type content struct {
	certificate []byte
	key         []byte
	ca          []byte
}

func (c content) equal(other content) bool {
	return bytes.Equal(c.certificate, other.certificate) &&
		bytes.Equal(c.key, other.key) &&
		bytes.Equal(c.ca, other.ca)
}

// tlsMaterial is validated content in the types of package tls.
type tlsMaterial struct {
	certificate tls.Certificate
	caPool      *x509.CertPool
}

// Reloader provides TLS configurations from the last valid content of the files.
// It is safe for concurrent use.
type Reloader struct {
	files Files

	mutex   sync.Mutex
	content content
	current tlsMaterial
}

// Open reads and validates the files. It checks the validity periods of the
// certificates against now and returns an Error for the first problem.
func Open(files Files, now time.Time) (*Reloader, error) {
	reloader := &Reloader{files: files}
	if _, err := reloader.Reload(now); err != nil {
		return nil, err
	}
	return reloader, nil
}

// Reload reads the files again and reports whether their content has changed and
// was applied. If it returns an Error, the previous content stays in use.
func (r *Reloader) Reload(now time.Time) (changed bool, err error) {
	read, err := readFiles(r.files)
	if err != nil {
		return false, err
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if read.equal(r.content) {
		return false, nil
	}
	validated, err := validate(r.files, read, now)
	if err != nil {
		return false, err
	}
	r.content = read
	r.current = validated
	return true, nil
}

// Expires returns the expiry time of the certificate in use.
func (r *Reloader) Expires() time.Time { return r.material().certificate.Leaf.NotAfter }

func (r *Reloader) material() tlsMaterial {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.current
}

// ServerConfig returns the configuration of a listener. Each new connection uses
// the content loaded at that time. If Files.CA is set, clients must present a
// certificate signed by one of its CAs.
func (r *Reloader) ServerConfig(protocols ...string) *tls.Config {
	protocols = slices.Clone(protocols)
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return r.material().serverConfig(protocols), nil
		},
	}
}

func (m tlsMaterial) serverConfig(protocols []string) *tls.Config {
	config := &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   protocols,
		Certificates: []tls.Certificate{m.certificate},
	}
	if m.caPool != nil {
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = m.caPool
	}
	return config
}

// ClientConfig returns the configuration of one connection to a server, whose
// certificate must be valid for serverName. The configuration does not follow
// later reloads, so call ClientConfig for each connection. For mutual TLS between
// the processes of a fleet, both sides use a Reloader with Files.CA set.
func (r *Reloader) ClientConfig(serverName string) *tls.Config {
	current := r.material()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		ServerName:   serverName,
		Certificates: []tls.Certificate{current.certificate},
		RootCAs:      current.caPool,
	}
}

func readFiles(files Files) (content, error) {
	var read content
	paths := []struct {
		path   string
		target *[]byte
	}{
		{files.Certificate, &read.certificate},
		{files.Key, &read.key},
		{files.CA, &read.ca},
	}
	for _, file := range paths {
		if file.path == "" {
			continue
		}
		data, err := os.ReadFile(file.path)
		if err != nil {
			return content{}, Error{file.path, Unreadable, errors.Cause(err).Error()}
		}
		*file.target = data
	}
	return read, nil
}
