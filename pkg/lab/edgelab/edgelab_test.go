package edgelab

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/arbutuslink/arbutuslink/pkg/lab/fleet"
)

// Guards against a fleet for trying out that does not serve a request.
func TestFleetServes(t *testing.T) {
	is := is.New(t)
	l, err := Start(t.Context(), Options{Instances: 2, Targets: 2, Network: fmt.Sprintf("67.%d", os.Getpid()%256), Directory: t.TempDir()})
	is.NoErr(err)
	defer l.Close()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	request.SetRequestURI(l.CallerURL() + "/preview/1")
	request.UseHostHeader = true
	request.Header.SetHost(Host)
	request.Header.Set("Authorization", "Bearer "+Key)
	request.Header.Set("Arbutuslink-Request-Id", "1")
	request.Header.Set("Arbutuslink-Timeout-Ms", "2000")
	is.NoErr(fasthttp.DoTimeout(request, response, 5*time.Second))
	is.Equal(response.StatusCode(), fasthttp.StatusOK)
	status, body, err := fasthttp.GetTimeout(nil, l.DirectoryURL(), time.Second)
	is.NoErr(err)
	is.Equal(status, fasthttp.StatusOK)
	is.True(len(body) > len(`{"addresses":[]}`))
}

// Guards against a fleet that counts as running because another one answers there.
func TestAddressInUseIsNamed(t *testing.T) {
	is := is.New(t)
	o := Options{Instances: 2, Targets: 1, Network: fmt.Sprintf("68.%d", os.Getpid()%256), Directory: t.TempDir()}
	first, err := Start(t.Context(), o)
	is.NoErr(err)
	defer first.Close()
	_, err = Start(t.Context(), o)
	var failed *fleet.ProcessError
	is.True(errors.As(err, &failed))
	is.True(strings.Contains(err.Error(), fmt.Sprintf("127.%s.1:%d: bind: address already in use", o.Network, callerPort)))
}
