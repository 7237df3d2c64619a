package api

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/config"
)

// Guards against an API page that differs from the constants.
func TestDocs(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("../../../docs/operator-api.md")
	is.NoErr(err)
	page := string(data)
	codes := []string{
		CodeUnauthorized, CodeNotFound, CodeMethodNotAllowed, CodeVersionMissing, CodeStaleVersion, CodePatchInvalid, CodeMediaTypeUnsupported,
		CodePreviousPending, CodePlatformUnavailable, CodeRequestInvalid, CodeReplacementRefused, CodeInternal,
	}
	for _, code := range codes {
		is.True(strings.Contains(page, "\n| `"+code+"` | ")) // a failure code is not described
	}
	_, failures, _ := strings.Cut(page, "## Failures")
	is.Equal(strings.Count(failures, "\n| `"), len(codes)) // a code of the page does not exist
	for _, path := range []string{
		"GET " + ConfigPath, "PATCH " + ConfigPath, "GET " + HistoryPath + "?" + ParameterSince + "=VERSION", "GET " + StatusPath,
		"GET " + MembershipPath, "POST " + ReplacePath, "GET " + DumpPath, "GET " + MetricsPath,
	} {
		is.True(strings.Contains(page, "\n| `"+path+"` |")) // a path is not described
	}
	for _, word := range []string{
		string(Accepted), string(InForce), config.MergePatchType, config.JSONPatchType,
		HeaderAuthorization + ": " + AuthorizationPrefix, fmt.Sprintf("at most %d:", MaxHistoryEntries), HeaderAllow,
	} {
		is.True(strings.Contains(page, word)) // a constant is described otherwise
	}
}
