package edge

import (
	"context"
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/daemon"
	"github.com/arbutuslink/arbutuslink/pkg/event"
)

// listeners are the TCP listeners of an instance; metrics is nil without a metrics
// address. state serves the stateFetcher of each other instance.
type listeners struct{ callers, ready, directory, state, metrics net.Listener }

// listen opens all listeners or none.
func (i *Instance) listen() (*listeners, error) {
	l, s := &listeners{}, i.Settings
	open := []struct {
		address string
		into    *net.Listener
	}{
		{s.CallerAddress, &l.callers},
		{s.ReadyAddress, &l.ready},
		{s.DirectoryAddress, &l.directory},
		{s.GossipAddress, &l.state},
		{s.MetricsAddress, &l.metrics},
	}
	for _, o := range open {
		if o.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", o.address)
		if err != nil {
			l.close()
			return nil, errors.WithStack(&daemon.ListenError{Address: o.address, Cause: err})
		}
		*o.into = daemon.TolerantListener{Listener: listener}
	}
	address, err := netip.ParseAddrPort(s.GossipAddress)
	if err == nil {
		i.socket, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	}
	if err != nil {
		l.close()
		return nil, errors.WithStack(&daemon.ListenError{Address: s.GossipAddress, Cause: err})
	}
	return l, nil
}

// hostOf returns the IP address of an IP:port that was validated with the settings.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		panic(err)
	}
	return host
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.ready, l.directory, l.state, l.metrics} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// Send implements fleet.Transport: it sends a datagram to another instance. Failures
// are only logged, as the next heartbeat replaces a lost one.
func (i *Instance) Send(address string, data []byte) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		event.DatagramRejected.Log(i.Log).Err(err).Str("address", address).Send()
		return
	}
	if _, err := i.socket.WriteToUDPAddrPort(data, to); err != nil {
		event.DatagramNotSent.Log(i.Log).Err(err).Int("bytes", len(data)).Send()
	}
}

// maxDatagramBytes is the maximum size of an IPv4 datagram.
const maxDatagramBytes = 64 << 10

// receive passes datagrams to the fleet until ctx ends.
func (i *Instance) receive(ctx context.Context) error {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := i.socket.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return errors.WithStack(ctx.Err())
		}
		if err != nil {
			event.DatagramRejected.Log(i.Log).Err(err).Send()
			continue
		}
		if !i.freshness.datagramsMayBeStale() {
			i.fleet.Receive(buffer[:n])
		}
	}
}
