package deployment

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/settings"
)

// Guards against a configuration that the fleet would reject, and against load
// fractions of the teams that do not add up to 1.
func TestConfigsAreValid(t *testing.T) {
	for _, d := range []Deployment{Olomouc(), Skyline()} {
		is := is.New(t)
		addresses := map[string]string{}
		for _, s := range d.Services {
			for n := range s.Targets {
				addresses[TargetID(s.Name, n)] = fmt.Sprintf("127.0.0.1:%d", 9000+n)
			}
		}
		c, keys := d.Config(100, addresses, time.Unix(0, 0))
		is.NoErr(c.Validate())
		is.Equal(len(keys), len(d.Teams))
		total := 0.0
		for _, team := range d.Teams {
			total += team.LoadFraction
		}
		is.True(total > 0.999 && total < 1.001)
	}
}

// Guards against example files that the programs would reject.
func TestExampleFilesAreValid(t *testing.T) {
	for _, d := range []string{"olomouc", "skyline"} {
		is := is.New(t)
		data, err := os.ReadFile("../../../examples/" + d + "/config.json")
		is.NoErr(err)
		_, err = config.Parse(data)
		is.NoErr(err)
		_, err = settings.LoadEntry("../../../examples/" + d + "/entry.json")
		is.NoErr(err)
	}
}
