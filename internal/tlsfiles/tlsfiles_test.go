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

// issuer signs certificates for the specs.
type issuer struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

type pair struct{ certificate, key []byte }

func newKey() *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	return key
}

func newIssuer(start time.Time) issuer {
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
	return issuer{certificate, key}
}

func (i issuer) pem() []byte { return block("CERTIFICATE", i.certificate.Raw) }

func (i issuer) issue(serial int64, start time.Time) pair {
	key := newKey()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: serverName}, DNSNames: []string{serverName},
		NotBefore: start, NotAfter: start.Add(validity),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, i.certificate, &key.PublicKey, i.key)
	Expect(err).NotTo(HaveOccurred())
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	return pair{block("CERTIFICATE", der), block("PRIVATE KEY", encoded)}
}

func block(kind string, der []byte) []byte {
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

func writePair(files tlsfiles.Files, written pair) {
	write(files.Certificate, written.certificate)
	write(files.Key, written.key)
}

// handshake connects a client to a server over loopback and returns the
// certificate of the server and the error of either side.
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

var _ = Describe("Source", func() {
	// Handshakes compare with the clock of the system, so that the validity
	// surrounds it.
	now := time.Now()
	begin := now.Add(-validity / 2)

	It("connects two processes that prove themselves to each other", func() {
		authority := newIssuer(begin)
		files := newFiles()
		writePair(files, authority.issue(2, begin))
		write(files.CA, authority.pem())
		source, err := tlsfiles.Open(files, now)
		Expect(err).NotTo(HaveOccurred())
		_, err = handshake(source.ServerConfig(), source.ClientConfig(serverName))
		Expect(err).NotTo(HaveOccurred())

		By("refusing a client without a certificate")
		anonymous := source.ClientConfig(serverName)
		anonymous.Certificates = nil
		_, err = handshake(source.ServerConfig(), anonymous)
		Expect(err).To(HaveOccurred())

		By("refusing a server of another name")
		_, err = handshake(source.ServerConfig(), source.ClientConfig("other.test"))
		Expect(err).To(MatchError(ContainSubstring("not other.test")))

		By("refusing a client of another authority")
		stranger := source.ClientConfig(serverName)
		issued := newIssuer(begin).issue(3, begin)
		certificate, err := tls.X509KeyPair(issued.certificate, issued.key)
		Expect(err).NotTo(HaveOccurred())
		stranger.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &certificate, nil }
		_, err = handshake(source.ServerConfig(), stranger)
		Expect(err).To(HaveOccurred())
	})

	It("serves replaced files on the listener that is open, and keeps the old ones if the new are broken", func() {
		authority := newIssuer(begin)
		files := newFiles()
		writePair(files, authority.issue(2, begin))
		write(files.CA, authority.pem())
		source, err := tlsfiles.Open(files, now)
		Expect(err).NotTo(HaveOccurred())
		server := source.ServerConfig()
		serial := func() int64 {
			certificate, err := handshake(server, source.ClientConfig(serverName))
			Expect(err).NotTo(HaveOccurred())
			return certificate.SerialNumber.Int64()
		}
		Expect(serial()).To(Equal(int64(2)))
		Expect(source.Reload(now)).To(BeFalse())

		next := authority.issue(3, begin)
		write(files.Certificate, next.certificate)
		_, err = source.Reload(now)
		Expect(err).To(HaveOccurred())
		Expect(serial()).To(Equal(int64(2)))

		write(files.Key, next.key)
		Expect(source.Reload(now)).To(BeTrue())
		Expect(serial()).To(Equal(int64(3)))
		Expect(source.Expires()).To(BeTemporally("~", begin.Add(validity), time.Second))
	})

	DescribeTable("names the file and its problem",
		func(damage func(tlsfiles.Files, issuer), at time.Time, file func(tlsfiles.Files) string, problem tlsfiles.Problem) {
			authority := newIssuer(begin)
			files := newFiles()
			writePair(files, authority.issue(2, begin))
			write(files.CA, authority.pem())
			damage(files, authority)
			_, err := tlsfiles.Open(files, at)
			var found tlsfiles.Error
			Expect(err).To(BeAssignableToTypeOf(found))
			found = err.(tlsfiles.Error)
			Expect(found.File).To(Equal(file(files)))
			Expect(found.Problem).To(Equal(problem))
		},
		Entry("no certificate", func(f tlsfiles.Files, _ issuer) { Expect(os.Remove(f.Certificate)).To(Succeed()) },
			now, certificateOf, tlsfiles.Unreadable),
		Entry("no key", func(f tlsfiles.Files, _ issuer) { Expect(os.Remove(f.Key)).To(Succeed()) },
			now, keyOf, tlsfiles.Unreadable),
		Entry("certificate without content", func(f tlsfiles.Files, _ issuer) { write(f.Certificate, nil) },
			now, certificateOf, tlsfiles.NotPEM),
		Entry("damaged certificate", func(f tlsfiles.Files, _ issuer) { write(f.Certificate, block("CERTIFICATE", []byte("x"))) },
			now, certificateOf, tlsfiles.NotPEM),
		Entry("key without content", func(f tlsfiles.Files, _ issuer) { write(f.Key, []byte("key")) },
			now, keyOf, tlsfiles.NotPEM),
		Entry("key of another certificate", func(f tlsfiles.Files, a issuer) { write(f.Key, a.issue(4, begin).key) },
			now, keyOf, tlsfiles.KeyMismatch),
		Entry("expired certificate", func(f tlsfiles.Files, a issuer) { writePair(f, a.issue(4, begin.Add(-validity))) },
			now, certificateOf, tlsfiles.Expired),
		Entry("certificate of tomorrow", func(f tlsfiles.Files, a issuer) { writePair(f, a.issue(4, begin.Add(validity))) },
			now, certificateOf, tlsfiles.NotYetValid),
		Entry("expired authority", func(f tlsfiles.Files, _ issuer) { write(f.CA, newIssuer(begin.Add(-validity)).pem()) },
			now, authorityOf, tlsfiles.Expired),
		Entry("authority that is none", func(f tlsfiles.Files, a issuer) { write(f.CA, a.issue(4, begin).certificate) },
			now, authorityOf, tlsfiles.NotCA),
	)
})

func certificateOf(files tlsfiles.Files) string { return files.Certificate }
func keyOf(files tlsfiles.Files) string         { return files.Key }
func authorityOf(files tlsfiles.Files) string   { return files.CA }
