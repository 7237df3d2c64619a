package entry

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/ctl"
	"github.com/arbutuslink/arbutuslink/pkg/settings"
)

// authority is a certificate authority that issues certificates for 127.0.0.1.
type authority struct {
	is   *is.I
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	file string
}

func newAuthority(is *is.I, directory string) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	cert, err := x509.ParseCertificate(der)
	is.NoErr(err)
	a := &authority{is: is, cert: cert, key: key, file: filepath.Join(directory, "ca.pem")}
	a.write(a.file, "CERTIFICATE", der)
	return a
}

func (a *authority) write(file, kind string, der []byte) {
	a.is.NoErr(os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

// issue writes a new certificate and its key to the files of t.
func (a *authority) issue(t settings.TLS, serial int64) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	a.is.NoErr(err)
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	a.is.NoErr(err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	a.is.NoErr(err)
	a.write(t.CertificateFile, "CERTIFICATE", der)
	a.write(t.KeyFile, "EC PRIVATE KEY", keyDER)
}

func (a *authority) roots() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return pool
}

// serial returns the serial number of the certificate that a listener serves.
func (a *authority) serial(address string) int64 {
	conn, err := tls.Dial("tcp", address, &tls.Config{RootCAs: a.roots(), MinVersion: tls.VersionTLS12})
	a.is.NoErr(err)
	defer func() { a.is.NoErr(conn.Close()) }()
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}

// Guards against listeners that ignore their TLS settings, against renewed
// certificates that take effect only after a restart or end open connections, and
// against an arbutusctl that trusts an unknown authority.
func TestTLS(t *testing.T) {
	directory := t.TempDir()
	a := newAuthority(is.New(t), directory)
	files := settings.TLS{CertificateFile: filepath.Join(directory, "cert.pem"), KeyFile: filepath.Join(directory, "key.pem")}
	a.issue(files, 10)
	f := start(t, func(s *settings.Entry) { s.CallerTLS, s.OperatorTLS = &files, &files })
	f.scheme = "https://"
	f.client.Transport.(*http.Transport).TLSClientConfig.RootCAs = a.roots()
	key, stored := config.GenerateKey("k", "school")
	f.patch("0", f.configDocument(map[string]config.Key{"k": stored}))
	served := func() bool {
		status, _ := f.send(http.MethodGet, f.settings.CallerAddress, "/preview", "", map[string]string{"X-Arbutus-Key": key})
		return status == http.StatusOK
	}
	f.waitUntil(served)

	open, err := tls.Dial("tcp", f.settings.CallerAddress, &tls.Config{RootCAs: a.roots(), MinVersion: tls.VersionTLS12})
	f.is.NoErr(err)
	defer func() { _ = open.Close() }()
	for _, address := range []string{f.settings.CallerAddress, f.settings.OperatorAddress} {
		f.is.Equal(a.serial(address), int64(10))
	}
	a.issue(files, 11)
	for _, address := range []string{f.settings.CallerAddress, f.settings.OperatorAddress} {
		f.waitUntil(func() bool { return a.serial(address) == 11 })
	}
	f.is.True(served())
	_, err = open.Write([]byte("GET /preview HTTP/1.1\r\nHost: entry\r\nX-Arbutus-Key: " + key + "\r\n\r\n"))
	f.is.NoErr(err)
	answer := make([]byte, 15)
	_, err = open.Read(answer)
	f.is.NoErr(err)
	f.is.Equal(string(answer), "HTTP/1.1 200 OK")

	t.Setenv("ARBUTUS_TOKEN", operatorToken)
	server := "https://" + f.settings.OperatorAddress
	var stdout, stderr bytes.Buffer
	f.is.Equal(ctl.Run([]string{"--server", server, "--ca-file", a.file, "status"}, &stdout, &stderr, nil), ctl.ExitOK)
	f.is.True(strings.Contains(stdout.String(), "entry-1"))
	f.is.Equal(ctl.Run([]string{"--server", server, "status"}, &stdout, &stderr, nil), ctl.ExitFailed) // an unknown authority
}
