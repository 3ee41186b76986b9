// Package tlsfiles implements TLS configurations from certificates and keys in
// files, which may be replaced while the process runs.
//
// A Source holds the content that was read last and proved sound. Reload reads
// the files again; broken content leaves the Source as it is.
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

// Files names files in PEM form.
type Files struct {
	// Certificate holds the certificate of this process, followed by any
	// intermediate ones.
	Certificate string
	// Key holds the private key that belongs to the certificate.
	Key string
	// CA holds the certificates that sign those of the other side.
	// Empty means that no certificate is asked of clients, and that servers
	// are checked against the authorities of the system.
	CA string
}

// Problem tells what is wrong with a file.
type Problem string

// The problems of files.
const (
	Unreadable  Problem = "cannot be read"
	NotPEM      Problem = "holds no certificate or key in PEM form"
	KeyMismatch Problem = "does not belong to the certificate"
	Expired     Problem = "has expired"
	NotYetValid Problem = "is not valid yet"
	NotCA       Problem = "holds a certificate that may not sign others"
)

// Error names a file and what is wrong with it.
type Error struct {
	File    string
	Problem Problem
	// Detail is empty or says more, such as the end of the validity.
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

// content is what the files held when they were read.
type content struct {
	certificate []byte
	key         []byte
	authority   []byte
}

func (c content) equal(other content) bool {
	return bytes.Equal(c.certificate, other.certificate) &&
		bytes.Equal(c.key, other.key) &&
		bytes.Equal(c.authority, other.authority)
}

// material is sound content in the form that package tls takes.
type material struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// Reloader provides TLS configurations with the content of files. It is safe for
// concurrent use.
type Reloader struct {
	files Files

	mutex   sync.Mutex
	content content
	current material
}

// Open reads and checks the files; now is compared with the validity of the
// certificates. It returns an Error for the first problem.
func Open(files Files, now time.Time) (*Reloader, error) {
	source := &Reloader{files: files}
	if _, err := source.Reload(now); err != nil {
		return nil, err
	}
	return source, nil
}

// Reload reads the files again and reports whether other content came into
// force. After an Error, what counted before goes on counting.
func (s *Reloader) Reload(now time.Time) (changed bool, err error) {
	read, err := readFiles(s.files)
	if err != nil {
		return false, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if read.equal(s.content) {
		return false, nil
	}
	checked, err := check(s.files, read, now)
	if err != nil {
		return false, err
	}
	s.content = read
	s.current = checked
	return true, nil
}

// Expires returns the end of the validity of the certificate in force.
func (s *Reloader) Expires() time.Time { return s.material().certificate.Leaf.NotAfter }

func (s *Reloader) material() material {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.current
}

// ServerConfig returns the configuration of a listener. Each connection uses the
// content of the moment. With an authority, clients must have a certificate of
// it.
func (s *Reloader) ServerConfig(protocols ...string) *tls.Config {
	protocols = slices.Clone(protocols)
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.material().server(protocols), nil
		},
	}
}

func (m material) server(protocols []string) *tls.Config {
	config := &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   protocols,
		Certificates: []tls.Certificate{m.certificate},
	}
	if m.authority != nil {
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = m.authority
	}
	return config
}

// ClientConfig returns the configuration of one connection to a server whose
// certificate must bear the name. It has the content of the moment: ask for it
// again for each connection. Between processes of a fleet, both sides use a
// Source with an authority, so that each proves itself to the other.
func (s *Reloader) ClientConfig(serverName string) *tls.Config {
	current := s.material()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		ServerName:   serverName,
		Certificates: []tls.Certificate{current.certificate},
		RootCAs:      current.authority,
	}
}

func readFiles(files Files) (content, error) {
	var read content
	wanted := []struct {
		path   string
		target *[]byte
	}{
		{files.Certificate, &read.certificate},
		{files.Key, &read.key},
		{files.CA, &read.authority},
	}
	for _, file := range wanted {
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
