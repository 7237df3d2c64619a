package httpprobe

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/arbutuslink/arbutuslink/pkg/health"
	"github.com/arbutuslink/arbutuslink/pkg/lab/rawhttp"
)

// Guards against a probe that succeeds, or says that the target drains, with what is no HTTP.
func TestMalformedProbesFail(t *testing.T) {
	for _, status := range []string{"ok", "draining", "cold"} {
		for name, text := range rawhttp.Malformed("", `{"status":"`+status+`"}`) {
			t.Run(status+"/"+name, func(t *testing.T) {
				is := is.New(t)
				server, err := rawhttp.Start(text, false)
				is.NoErr(err)
				t.Cleanup(server.Close)
				var lines bytes.Buffer
				log := zerolog.New(&lines)
				prober := New(&log)
				is.Equal(prober.Probe(t.Context(), server.Addr(), "/health"), health.ProbeFailed)
				is.True(strings.Contains(lines.String(), "probe_malformed") && strings.Contains(lines.String(), server.Addr()))
				is.True(strings.Contains(lines.String(), "malformed response")) // the line says what is wrong
				server.SetAnswer("HTTP/1.1 200 \r\nContent-Length: 15\r\n\r\n{\"status\":\"ok\"}")
				is.Equal(prober.Probe(t.Context(), server.Addr(), "/health"), health.ProbeOK)
			})
		}
	}
}

// Guards against a line in the log for each target that cannot be reached.
func TestFailedProbeIsNotCalledMalformed(t *testing.T) {
	is := is.New(t)
	server, err := rawhttp.Start("", true)
	is.NoErr(err)
	t.Cleanup(server.Close)
	var lines bytes.Buffer
	log := zerolog.New(&lines)
	is.Equal(New(&log).Probe(t.Context(), server.Addr(), "/health"), health.ProbeFailed)
	is.Equal(New(&log).Probe(t.Context(), "127.0.0.1:1", "/health"), health.ProbeFailed)
	is.Equal(lines.String(), "")
}
