package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/head"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// Guards against the loop losing a command, answering late or not ending, and
// against an invalid configuration being written.
func TestLoopFromJoinToLeave(t *testing.T) {
	for _, tcp := range []bool{false, true} {
		t.Run(fmt.Sprintf("tcp=%v", tcp), func(t *testing.T) { joinToLeave(t, startLoops(t, 5, tcp)) })
	}
}

func joinToLeave(t *testing.T, f *loopFleet) {
	is := is.New(t)
	f.await(t, "joined", func(l *Loop) bool { return l.MayServe() && len(l.View().Membership.Members) == 5 })
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	version, err := f.loops[0].ProposeConfig(ctx, 0, addKey("k1"), head.Metadata{Author: "ann"})
	is.NoErr(err)
	is.Equal(version, int64(1))
	f.await(t, "applied", func(l *Loop) bool { return l.View().Head.ConfigVersion == 1 })
	status, err := f.loops[0].Status(ctx, 1)
	is.NoErr(err)
	is.True(status.State == Accepted || status.State == Settling)
	_, err = f.loops[1].ProposeConfig(ctx, 0, addKey("k2"), head.Metadata{})
	var stale *head.StaleError
	is.True(errors.As(err, &stale))
	is.Equal(stale.Current, int64(1))
	_, err = f.loops[1].ProposeConfig(ctx, 1, func(*config.Config) (*config.Config, error) {
		broken := config.Empty()
		broken.Keys["k1"] = config.Key{Team: "nobody"}
		return broken, nil
	}, head.Metadata{})
	var invalid *config.InvalidError
	is.True(errors.As(err, &invalid))
	is.NoErr(f.loops[4].Leave(ctx))
	is.True(!f.loops[4].MayServe())
	dump, err := f.loops[4].Dump(ctx)
	is.NoErr(err)
	is.Equal(dump.Phase, "left")
	store := f.loops[0].core.options.Store
	row, err := store.Read(ctx)
	is.NoErr(err)
	history, err := store.History(ctx, row, 10)
	is.NoErr(err)
	is.Equal(len(history), 1)
	is.Equal(history[0].Author, "ann")
}
