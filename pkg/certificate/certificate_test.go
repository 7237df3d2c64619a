package certificate

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// writePair writes a new key and a certificate with the common name to dir, and sets
// the certificate file's modification time.
func writePair(t *testing.T, dir, name string, modified time.Time) (certFile, keyFile string) {
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	certFile, keyFile = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	is.NoErr(os.WriteFile(certFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	is.NoErr(os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600))
	is.NoErr(os.Chtimes(certFile, modified, modified))
	return certFile, keyFile
}

// commonName returns the common name of the certificate that r serves, after a check
// of the files.
func commonName(t *testing.T, r *Reloader) string {
	is := is.New(t)
	r.lastCheck = time.Time{}
	cert, err := r.getCertificate(nil)
	is.NoErr(err)
	parsed, err := x509.ParseCertificate(cert.Certificate[0])
	is.NoErr(err)
	return parsed.Subject.CommonName
}

// Guards against a renewed certificate being used only after a restart, and against
// an invalid file making the listener unusable.
func TestReloaderFollowsTheFiles(t *testing.T) {
	is := is.New(t)
	dir, log := t.TempDir(), zerolog.Nop()
	base := time.Now().Add(-time.Hour)
	certFile, keyFile := writePair(t, dir, "first", base)
	r, err := New(certFile, keyFile, &log)
	is.NoErr(err)
	is.Equal(commonName(t, r), "first")
	writePair(t, dir, "second", base.Add(time.Minute))
	is.Equal(commonName(t, r), "second")
	is.NoErr(os.WriteFile(certFile, []byte("broken"), 0o600))
	is.Equal(commonName(t, r), "second")
}

// Guards against starting with an unreadable certificate.
func TestNewReportsTheFile(t *testing.T) {
	is := is.New(t)
	log := zerolog.Nop()
	_, err := New("missing.pem", "missing.key", &log)
	var load *LoadError
	is.True(errors.As(err, &load))
	is.Equal(load.File, "missing.pem")
}
