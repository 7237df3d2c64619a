package entry

import (
	"net/http"
	"strings"
	"testing"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/lab/targetsim"
	"github.com/arbutuslink/arbutuslink/pkg/operator/api"
)

// Guards against leaking caller keys, operator tokens and the platform's secret in
// logs, dumps, metrics and responses of an instance, and against forwarding keys to
// a target.
func TestSecretsAppearNowhere(t *testing.T) {
	f := start(t, nil)
	good, goodStored := config.GenerateKey("good", "school")
	old, oldStored := config.GenerateKey("old", "school")
	unknown, _ := config.GenerateKey("unknown", "school")
	wrong, _ := config.GenerateKey("good", "school") // the id exists, the secret is wrong
	f.patch("0", f.configDocument(map[string]config.Key{"good": goodStored, "old": oldStored}))

	// The token issuers of a new team start without tokens, so the first requests may be
	// refused.
	f.waitUntil(func() bool {
		status, _ := f.send(http.MethodGet, f.settings.CallerAddress, "/preview", "", map[string]string{"X-Arbutus-Key": good})
		return status == http.StatusOK
	})
	f.sendKeys(t, good, http.StatusOK)
	f.sendKeys(t, old, http.StatusOK)
	f.patch("1", map[string]any{"keys": map[string]any{"old": nil}})
	for _, key := range []string{old, unknown, wrong} {
		f.sendKeys(t, key, http.StatusUnauthorized)
	}
	// Failures of the target are logged with their causes.
	f.is.NoErr(f.target.SetFaults(targetsim.Faults{HalfResponse: 1}))
	f.sendKeys(t, good, anyServerError)
	f.is.NoErr(f.target.SetFaults(targetsim.Faults{Unresponsive: true}))
	f.sendKeys(t, good, anyServerError)
	f.is.Equal(f.target.Summary().KeysSeen, 0)

	f.sendInvalidOperatorRequests([]string{good, old, unknown, wrong})
	for _, path := range []string{api.DumpPath, api.MetricsPath, api.ConfigPath, api.HistoryPath, api.StatusPath, api.MembershipPath} {
		status, body := f.sendOperator(http.MethodGet, path, "", nil)
		f.is.Equal(status, http.StatusOK)
		f.is.True(body != "")
	}
	f.is.True(strings.Contains(f.log.String(), "answer_incomplete")) // the debug log was captured
	secrets := []string{operatorToken, "wrong-operator-token", f.settings.Platform.SecretAccessKey}
	for _, key := range []string{good, old, unknown, wrong} {
		_, secret, _ := strings.Cut(key, ".")
		secrets = append(secrets, secret, strings.ToLower(secret))
	}
	for _, secret := range secrets {
		for place, text := range map[string]string{"log": f.log.String(), "answers": f.responses.String()} {
			for line := range strings.Lines(text) {
				if strings.Contains(line, secret) {
					t.Errorf("the secret %s is in the %s: %s", secret, place, line)
				}
			}
		}
	}
}

// anyServerError makes sendKeys accept any status of 500 or more: the exact status
// depends on the number of attempts of the request.
const anyServerError = 500

// sendKeys presents a key in the allowed headers, where status is expected, and in
// places that are refused.
func (f *fixture) sendKeys(t *testing.T, key string, status int) {
	allowed := []map[string]string{{"X-Arbutus-Key": key}, {"Authorization": "Bearer " + key}}
	for n, header := range allowed {
		for _, path := range []string{"/preview/1", "/confirm/1"} {
			got, body := f.send(http.MethodPost, f.settings.CallerAddress, path, "order", header)
			if got != status && (status != anyServerError || got < anyServerError) {
				t.Errorf("header %d on %s: status %d, want %d: %s", n, path, got, status, body)
			}
		}
	}
	f.send(http.MethodGet, f.settings.CallerAddress, "/.arbutus/directory", "", allowed[0])
	f.send(http.MethodGet, f.settings.CallerAddress, "/nowhere", "", allowed[0])
	header := func(name, value string) map[string]string {
		return map[string]string{"X-Arbutus-Key": key, name: value}
	}
	misplaced := []struct {
		path   string
		header map[string]string
	}{
		{"/preview?key=" + key, allowed[0]},
		{"/preview/" + key, nil},
		{"/" + key, nil},
		{"/preview", header("Cookie", "key="+key)},
		{"/preview", header("X-Request-Id", key)},
		{"/confirm", header("Idempotency-Key", key)},
		{"/preview", header("Authorization", "Bearer "+key)},
		{"/preview", map[string]string{"Authorization": "Basic " + key}},
		{"/.arbutus/" + key, nil},
	}
	for _, m := range misplaced {
		got, _ := f.send(http.MethodPost, f.settings.CallerAddress, m.path, "order", m.header)
		f.is.True(got >= 400 && got < 500) // a misplaced key is refused
	}
}

// sendInvalidOperatorRequests presents wrong tokens to the operator API, and caller
// keys and the operator token in places where they do not belong.
func (f *fixture) sendInvalidOperatorRequests(keys []string) {
	address := f.settings.OperatorAddress
	for _, token := range append([]string{"wrong-operator-token"}, keys...) {
		status, _ := f.send(http.MethodGet, address, api.StatusPath, "", map[string]string{"Authorization": "Bearer " + token})
		f.is.Equal(status, http.StatusUnauthorized)
	}
	for _, secret := range append([]string{operatorToken}, keys...) {
		for _, body := range []string{`{"keys":{"x":"` + secret + `"}}`, `{"` + secret + `":1}`, secret} {
			f.sendOperator(http.MethodPatch, api.ConfigPath, body, map[string]string{"If-Match": "2", "Content-Type": config.MergePatchType})
		}
		f.sendOperator(http.MethodPatch, api.ConfigPath, "{}", map[string]string{"If-Match": secret, "Content-Type": secret})
	}
	status, _ := f.send(http.MethodGet, f.settings.CallerAddress, "/preview", "", map[string]string{"X-Arbutus-Key": operatorToken})
	f.is.Equal(status, http.StatusUnauthorized)
}
