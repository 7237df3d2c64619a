package fleet

import (
	"fmt"
	"testing"
	"time"
)

// Guards against an instance that is selected and never prepares, because it reads the view
// from before the change that it is told of.
func TestSelectionIsToldBeforeItIsSeen(t *testing.T) {
	n := newTestFleet(1).instances["a00"]
	n.ready = false
	for i := range 3000 { // views of many instances take long to compare
		name := fmt.Sprint("c", i)
		n.addMember(name, &memberState{Member: Member{Instance: name, Zone: "c"}, serving: true, quiet: true, lastReceived: n.Clock.SinceBoot()})
	}
	select {
	case <-n.CalledChanged():
	default:
	}
	seen, done := make(chan bool), make(chan struct{})
	defer close(done)
	go func() {
		for {
			select {
			case <-done:
				return
			case <-n.CalledChanged():
				seen <- n.View().Called
			}
		}
	}()
	called := n.View().Called
	for i := range 100 {
		called = !called
		n.leaving.Store(!called)
		n.mu.Lock()
		n.updateView(n.Clock.SinceBoot())
		n.mu.Unlock()
		select {
		case got := <-seen:
			if got != called {
				t.Fatalf("change %d to %t: the view says %t", i, called, got)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("change %d to %t is not told", i, called)
		}
	}
}
