// Package certificate serves a TLS certificate from files and reloads it without a
// restart when the files change.
package certificate

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/arbutuslink/arbutuslink/pkg/event"
)

// checkInterval is the minimum time between two checks of the files for changes.
const checkInterval = time.Second

// LoadError reports that a certificate and its key could not be loaded.
type LoadError struct {
	File  string
	Cause error
}

// Error names the file and the cause.
func (e *LoadError) Error() string { return "certificate " + e.File + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *LoadError) Unwrap() error { return e.Cause }

// Reloader holds the newest valid certificate of a certificate file and a key file.
type Reloader struct {
	certFile, keyFile string
	log               *zerolog.Logger

	mu        sync.Mutex
	current   *tls.Certificate
	lastCheck time.Time
	// modTimes are the modification times of the files when they were last loaded
	// successfully.
	modTimes [2]time.Time
}

// New loads the certificate and its key. Errors: *LoadError.
func New(certFile, keyFile string, log *zerolog.Logger) (*Reloader, error) {
	r := &Reloader{certFile: certFile, keyFile: keyFile, log: log}
	if err := r.load(); err != nil {
		return nil, err
	}
	return r, nil
}

// Config returns a server configuration that always uses the newest certificate.
func (r *Reloader) Config() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: r.getCertificate}
}

// getCertificate returns the current certificate, after a check of the files if
// checkInterval has passed. Checks are made only during TLS handshakes.
func (r *Reloader) getCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.lastCheck) >= checkInterval {
		r.lastCheck = time.Now()
		r.reload()
	}
	return r.current, nil
}

// reload loads the files if they have changed. It keeps the previous certificate if
// they are missing or do not match, for example while they are being replaced.
func (r *Reloader) reload() {
	modTimes := r.readModTimes()
	if modTimes == r.modTimes {
		return
	}
	if err := r.load(); err != nil {
		event.CertFailed.Log(r.log).Err(err).Send()
		return
	}
	event.CertReloaded.Log(r.log).Str("file", r.certFile).Send()
}

func (r *Reloader) load() error {
	modTimes := r.readModTimes()
	cert, err := tls.LoadX509KeyPair(r.certFile, r.keyFile)
	if err != nil {
		return errors.WithStack(&LoadError{File: r.certFile, Cause: err})
	}
	r.current, r.modTimes = &cert, modTimes
	return nil
}

// readModTimes returns the modification times of the certificate file and the key
// file; the time of a file that cannot be read is zero.
func (r *Reloader) readModTimes() [2]time.Time {
	var times [2]time.Time
	for i, file := range []string{r.certFile, r.keyFile} {
		if info, err := os.Stat(file); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}
