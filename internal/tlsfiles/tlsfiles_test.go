package tlsfiles_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/vanetiller/vanetiller/internal/tlsfiles"
)

func TestTLSFiles(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "tlsfiles")
}

const (
	serverName = "api.vanetiller.test"
	validity   = 24 * time.Hour
)

// testCA is a CA that signs test certificates.
type testCA struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

type certificatePair struct{ certificate, key []byte }

func newKey() *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	return key
}

func newTestCA(start time.Time) testCA {
	key := newKey()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: start, NotAfter: start.Add(validity),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	certificate, err := x509.ParseCertificate(der)
	Expect(err).NotTo(HaveOccurred())
	return testCA{certificate, key}
}

func (c testCA) pem() []byte { return encodePEM("CERTIFICATE", c.certificate.Raw) }

func (c testCA) issue(serial int64, start time.Time) certificatePair {
	key := newKey()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: serverName}, DNSNames: []string{serverName},
		NotBefore: start, NotAfter: start.Add(validity),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, c.certificate, &key.PublicKey, c.key)
	Expect(err).NotTo(HaveOccurred())
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	return certificatePair{encodePEM("CERTIFICATE", der), encodePEM("PRIVATE KEY", encoded)}
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

func newFiles() tlsfiles.Files {
	directory := GinkgoT().TempDir()
	return tlsfiles.Files{
		Certificate: filepath.Join(directory, "certificate.pem"),
		Key:         filepath.Join(directory, "key.pem"),
		CA:          filepath.Join(directory, "authority.pem"),
	}
}

func write(path string, data []byte) { Expect(os.WriteFile(path, data, 0o600)).To(Succeed()) }

func writePair(files tlsfiles.Files, written certificatePair) {
	write(files.Certificate, written.certificate)
	write(files.Key, written.key)
}

// handshake performs a TLS handshake over loopback. It returns the certificate of
// the server, or the handshake error of either side.
func handshake(server, client *tls.Config) (*x509.Certificate, error) {
	listener, err := tls.Listen("tcp4", "127.0.0.1:0", server)
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	accepted := make(chan error, 1)
	go func() {
		connection, err := listener.Accept()
		if err == nil {
			err = connection.(*tls.Conn).Handshake()
			connection.Close()
		}
		accepted <- err
	}()
	dialed, err := net.Dial("tcp4", listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	connection := tls.Client(dialed, client)
	clientError := connection.Handshake()
	defer dialed.Close()
	if clientError != nil {
		dialed.Close()
		<-accepted
		return nil, clientError
	}
	if err := <-accepted; err != nil {
		return nil, err
	}
	return connection.ConnectionState().PeerCertificates[0], nil
}

var _ = Describe("Reloader", func() {
	// Handshakes check validity against the system clock, so the current time lies
	// in the middle of the validity period.
	now := time.Now()
	begin := now.Add(-validity / 2)

	It("establishes mutual TLS between processes with certificates of the same CA", func() {
		ca := newTestCA(begin)
		files := newFiles()
		writePair(files, ca.issue(2, begin))
		write(files.CA, ca.pem())
		reloader, err := tlsfiles.Open(files, now)
		Expect(err).NotTo(HaveOccurred())
		_, err = handshake(reloader.ServerConfig(), reloader.ClientConfig(serverName))
		Expect(err).NotTo(HaveOccurred())

		By("rejecting a client without a certificate")
		anonymous := reloader.ClientConfig(serverName)
		anonymous.Certificates = nil
		_, err = handshake(reloader.ServerConfig(), anonymous)
		Expect(err).To(HaveOccurred())

		By("rejecting a server with another name")
		_, err = handshake(reloader.ServerConfig(), reloader.ClientConfig("other.test"))
		Expect(err).To(MatchError(ContainSubstring("not other.test")))

		By("rejecting a client with a certificate of another CA")
		untrusted := reloader.ClientConfig(serverName)
		issued := newTestCA(begin).issue(3, begin)
		certificate, err := tls.X509KeyPair(issued.certificate, issued.key)
		Expect(err).NotTo(HaveOccurred())
		untrusted.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &certificate, nil }
		_, err = handshake(reloader.ServerConfig(), untrusted)
		Expect(err).To(HaveOccurred())
	})

	It("uses replaced files on an open listener, and keeps the old content if the new files do not match", func() {
		ca := newTestCA(begin)
		files := newFiles()
		writePair(files, ca.issue(2, begin))
		write(files.CA, ca.pem())
		reloader, err := tlsfiles.Open(files, now)
		Expect(err).NotTo(HaveOccurred())
		server := reloader.ServerConfig()
		serial := func() int64 {
			certificate, err := handshake(server, reloader.ClientConfig(serverName))
			Expect(err).NotTo(HaveOccurred())
			return certificate.SerialNumber.Int64()
		}
		Expect(serial()).To(Equal(int64(2)))
		Expect(reloader.Reload(now)).To(BeFalse())

		next := ca.issue(3, begin)
		write(files.Certificate, next.certificate)
		_, err = reloader.Reload(now)
		Expect(err).To(HaveOccurred())
		Expect(serial()).To(Equal(int64(2)))

		write(files.Key, next.key)
		Expect(reloader.Reload(now)).To(BeTrue())
		Expect(serial()).To(Equal(int64(3)))
		Expect(reloader.Expires()).To(BeTemporally("~", begin.Add(validity), time.Second))
	})

	DescribeTable("returns an Error with the file and its problem",
		func(damage func(tlsfiles.Files, testCA), at time.Time, file func(tlsfiles.Files) string, problem tlsfiles.Problem) {
			ca := newTestCA(begin)
			files := newFiles()
			writePair(files, ca.issue(2, begin))
			write(files.CA, ca.pem())
			damage(files, ca)
			_, err := tlsfiles.Open(files, at)
			var found tlsfiles.Error
			Expect(err).To(BeAssignableToTypeOf(found))
			found = err.(tlsfiles.Error)
			Expect(found.File).To(Equal(file(files)))
			Expect(found.Problem).To(Equal(problem))
		},
		Entry("missing certificate file", func(f tlsfiles.Files, _ testCA) { Expect(os.Remove(f.Certificate)).To(Succeed()) },
			now, certificateOf, tlsfiles.Unreadable),
		Entry("missing key file", func(f tlsfiles.Files, _ testCA) { Expect(os.Remove(f.Key)).To(Succeed()) },
			now, keyOf, tlsfiles.Unreadable),
		Entry("empty certificate file", func(f tlsfiles.Files, _ testCA) { write(f.Certificate, nil) },
			now, certificateOf, tlsfiles.NotPEM),
		Entry("malformed certificate", func(f tlsfiles.Files, _ testCA) { write(f.Certificate, encodePEM("CERTIFICATE", []byte("x"))) },
			now, certificateOf, tlsfiles.NotPEM),
		Entry("key file that is not PEM", func(f tlsfiles.Files, _ testCA) { write(f.Key, []byte("key")) },
			now, keyOf, tlsfiles.NotPEM),
		Entry("key of another certificate", func(f tlsfiles.Files, a testCA) { write(f.Key, a.issue(4, begin).key) },
			now, keyOf, tlsfiles.KeyMismatch),
		Entry("expired certificate", func(f tlsfiles.Files, a testCA) { writePair(f, a.issue(4, begin.Add(-validity))) },
			now, certificateOf, tlsfiles.Expired),
		Entry("certificate that is not valid yet", func(f tlsfiles.Files, a testCA) { writePair(f, a.issue(4, begin.Add(validity))) },
			now, certificateOf, tlsfiles.NotYetValid),
		Entry("expired CA certificate", func(f tlsfiles.Files, _ testCA) { write(f.CA, newTestCA(begin.Add(-validity)).pem()) },
			now, caOf, tlsfiles.Expired),
		Entry("CA file with a certificate that is not a CA", func(f tlsfiles.Files, a testCA) { write(f.CA, a.issue(4, begin).certificate) },
			now, caOf, tlsfiles.NotCA),
	)
})

func certificateOf(files tlsfiles.Files) string { return files.Certificate }
func keyOf(files tlsfiles.Files) string         { return files.Key }
func caOf(files tlsfiles.Files) string          { return files.CA }
