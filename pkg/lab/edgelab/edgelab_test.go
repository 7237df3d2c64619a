package edgelab

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
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
