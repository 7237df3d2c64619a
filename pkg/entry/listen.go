package entry

import (
	"crypto/tls"
	"net"

	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/certificate"
	"github.com/arbutuslink/arbutuslink/pkg/daemon"
	"github.com/arbutuslink/arbutuslink/pkg/settings"
)

// listeners are the sockets for callers, operators and other instances.
type listeners struct{ caller, operator, peer net.Listener }

// openListeners opens all listeners or none.
func (i *Instance) openListeners() (*listeners, error) {
	l := &listeners{}
	open := []struct {
		address string
		tls     *settings.TLS
		into    *net.Listener
	}{
		{i.settings.CallerAddress, i.settings.CallerTLS, &l.caller},
		{i.settings.OperatorAddress, i.settings.OperatorTLS, &l.operator},
		{i.settings.PeerAddress, nil, &l.peer},
	}
	for _, o := range open {
		listener, err := i.openListener(o.address, o.tls)
		if err != nil {
			l.close()
			return nil, err
		}
		*o.into = listener
	}
	return l, nil
}

// close closes the listeners that are open.
func (l *listeners) close() {
	for _, listener := range []net.Listener{l.caller, l.operator, l.peer} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// openListener listens on address, with TLS when t is set.
func (i *Instance) openListener(address string, t *settings.TLS) (net.Listener, error) {
	var config *tls.Config
	if t != nil {
		reloader, err := certificate.New(t.CertificateFile, t.KeyFile, &i.log)
		if err != nil {
			return nil, err
		}
		config = reloader.Config()
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.WithStack(&daemon.ListenError{Address: address, Cause: err})
	}
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	return listener, nil
}
