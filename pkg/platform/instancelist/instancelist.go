// Package instancelist implements platform.InstanceList over a JSON list that
// the platform serves by HTTP.
package instancelist

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/arbutuslink/arbutuslink/pkg/http1"
	"github.com/arbutuslink/arbutuslink/pkg/platform"
)

const (
	// operation is the operation that an UnavailableError names.
	operation = "instance list"
	// defaultTimeout bounds a call whose context has no deadline.
	defaultTimeout = 5 * time.Second
	// maxListBytes leaves 1,900 bytes for each of the 550 instances of the
	// expected scale.
	maxListBytes = 1 << 20
)

// Options configure a List.
type Options struct {
	// URL is the address of the list.
	URL string
	// Timeout bounds a call in addition to its context; zero means 5 s.
	Timeout time.Duration
}

// StatusError reports that the platform answered with a status other than 200.
type StatusError struct{ Status int }

// Error names the status.
func (e *StatusError) Error() string { return fmt.Sprintf("HTTP status %d", e.Status) }

// EntryError reports that an entry of the list has an unknown state or no address.
type EntryError struct{ Entry platform.InstanceListEntry }

// Error names the address and the state.
func (e *EntryError) Error() string {
	return fmt.Sprintf("entry with address %q has state %q", e.Entry.Address, e.Entry.State)
}

// List reads the platform's list. It is safe for concurrent use.
type List struct {
	client  *fasthttp.Client
	url     string
	timeout time.Duration
}

var _ platform.InstanceList = (*List)(nil)

// New returns a reader of the list; it does not connect.
func New(o Options) *List {
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	client := &fasthttp.Client{
		Transport: http1.Transport{},
		// One attempt; fasthttp takes zero as five.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxResponseBodySize:       maxListBytes,
	}
	return &List{client: client, url: o.URL, timeout: o.Timeout}
}

// result is the outcome of one fetch.
type result struct {
	list []platform.InstanceListEntry
	err  error
}

// List fetches the list. When the context ends, it returns at once, and the
// request continues in the background until its deadline.
func (l *List) List(ctx context.Context) ([]platform.InstanceListEntry, error) {
	if err := ctx.Err(); err != nil {
		return nil, unavailable(err)
	}
	deadline := time.Now().Add(l.timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	done := make(chan result, 1)
	go func() {
		list, err := l.fetch(deadline)
		done <- result{list, err}
	}()
	select {
	case <-ctx.Done():
		return nil, unavailable(ctx.Err())
	case a := <-done:
		if a.err != nil {
			return nil, unavailable(a.err)
		}
		return a.list, nil
	}
}

func (l *List) fetch(deadline time.Time) ([]platform.InstanceListEntry, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(l.url)
	if err := l.client.DoDeadline(request, response, deadline); err != nil {
		return nil, err
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return nil, &StatusError{Status: response.StatusCode()}
	}
	list := []platform.InstanceListEntry{}
	if err := json.Unmarshal(response.Body(), &list); err != nil {
		return nil, err
	}
	for _, entry := range list {
		if entry.Address == "" || (entry.State != platform.Live && entry.State != platform.Leaving) {
			return nil, &EntryError{Entry: entry}
		}
	}
	return list, nil
}

func unavailable(cause error) error {
	return errors.WithStack(&platform.UnavailableError{Operation: operation, Cause: cause})
}
