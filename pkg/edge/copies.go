package edge

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/control"
	"github.com/arbutuslink/arbutuslink/pkg/peer/drpcpeer"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

// copySpreadPeriod is the period over which the standbys of a zone spread their
// copies of a change, so that the instances they copy from can go on serving. It is a
// fifth of the time within which a change must take effect.
const copySpreadPeriod = 400 * time.Millisecond

// copyDelay returns how long to wait for a better instance to copy a change from;
// fleet.CopySources chooses it. Serving instances do not wait.
func (i *Instance) copyDelay() time.Duration {
	if i.fleet.View().Called {
		return 0
	}
	return rand.N(copySpreadPeriod)
}

// stateFetcher copies the configuration and the list of targets from other instances.
// It implements follow.PeerConfigs and discovery.PeerListings.
type stateFetcher struct {
	// instance is the name of this instance.
	instance string
	client   *drpcpeer.Client
}

// NoCopyError reports that an instance has no newer configuration or no listing.
type NoCopyError struct{ Address string }

// Error names the instance.
func (e *NoCopyError) Error() string { return "instance at " + e.Address + " has no newer state" }

// Config returns the configuration of the instance at a gossip address if it is
// newer than a version. Errors: *peer.UnreachableError, *NoCopyError,
// *InvalidCopyError.
func (f *stateFetcher) Config(ctx context.Context, address string, newerThan int64) (int64, *config.Config, error) {
	reply, err := f.client.Fetch(ctx, address, &peerpb.FetchRequest{From: f.instance, Versions: &peerpb.Versions{Config: newerThan}})
	if err != nil {
		return 0, nil, err
	}
	version := reply.GetVersions().GetConfig()
	if len(reply.Config) == 0 || version <= newerThan {
		return 0, nil, errors.WithStack(&NoCopyError{Address: address})
	}
	// It is not validated again: the instance that read it from the store has done so.
	copied, err := decodeConfig(reply.Config)
	if err != nil {
		return 0, nil, errors.WithStack(&InvalidCopyError{Address: address, Cause: err})
	}
	return version, copied, nil
}

// encodeConfig returns a configuration as gzipped JSON, which is a fifth of the
// size of the plain JSON.
func encodeConfig(c *config.Config) ([]byte, error) {
	var encoded bytes.Buffer
	w := gzip.NewWriter(&encoded)
	if err := json.NewEncoder(w).Encode(c); err != nil {
		return nil, errors.WithStack(err)
	}
	if err := w.Close(); err != nil {
		return nil, errors.WithStack(err)
	}
	return encoded.Bytes(), nil
}

func decodeConfig(encoded []byte) (*config.Config, error) {
	r, err := gzip.NewReader(bytes.NewReader(encoded))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	data, err := io.ReadAll(r)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	c := &config.Config{}
	return c, errors.WithStack(json.Unmarshal(data, c))
}

// Listing returns the list of targets of the instance at a gossip address. Errors:
// *peer.UnreachableError, *NoCopyError.
func (f *stateFetcher) Listing(ctx context.Context, address string) (*peerpb.Listing, error) {
	reply, err := f.client.Fetch(ctx, address, &peerpb.FetchRequest{From: f.instance, Listing: true})
	if err != nil {
		return nil, err
	}
	if reply.Listing == nil {
		return nil, errors.WithStack(&NoCopyError{Address: address})
	}
	return reply.Listing, nil
}

// InvalidCopyError reports that the configuration copied from an instance cannot
// be decoded.
type InvalidCopyError struct {
	Address string
	Cause   error
}

// Error names the instance and the cause.
func (e *InvalidCopyError) Error() string {
	return "decode the configuration of the instance at " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *InvalidCopyError) Unwrap() error { return e.Cause }

// stateServer answers the requests that a stateFetcher of another instance sends.
type stateServer struct {
	viewer control.Viewer
	// listing returns the list of targets of this instance.
	listing func() *peerpb.Listing

	// mu guards the encoded configuration, which is cached for one version.
	mu      sync.Mutex
	version int64
	encoded []byte
}

// fetch returns the list of targets if it is asked for, and else the configuration if
// it is newer than the one that the other instance has.
func (s *stateServer) fetch(_ context.Context, r *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	if r.Listing {
		return &peerpb.FetchReply{Listing: s.listing()}, nil
	}
	snapshot := s.viewer.View().Config
	reply := &peerpb.FetchReply{Versions: &peerpb.Versions{Config: snapshot.Version}}
	if snapshot.Version <= r.GetVersions().GetConfig() {
		return reply, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.version != snapshot.Version {
		encoded, err := encodeConfig(snapshot.Config)
		if err != nil {
			return nil, err
		}
		s.version, s.encoded = snapshot.Version, encoded
	}
	reply.Config = s.encoded
	return reply, nil
}
