package bytebudget

import (
	"sync"
	"testing"

	"github.com/matryer/is"
)

// Guards against reservations beyond the limit by callers that reserve at once.
func TestReservationsStayWithinTheLimit(t *testing.T) {
	is := is.New(t)
	b := New(1000)
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			for range 1000 {
				if b.Reserve(300) {
					b.Release(300)
				}
			}
		})
	}
	callers.Wait()
	state := b.State()
	is.Equal(state.Used, int64(0))
	is.True(state.Peak >= 300 && state.Peak <= 900)
	is.True(b.Reserve(1000))
	is.True(!b.Reserve(1))
	is.Equal(b.State().Refused, state.Refused+1)
}
