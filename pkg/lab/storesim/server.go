package storesim

import (
	"encoding/json"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/arbutuslink/arbutuslink/pkg/lab/httpserver"
)

const (
	pathPrefix = "/arbutuslink/"
	// maxRows is the largest number of rows in one response.
	maxRows = 500
	// maxTransactionEntries is the largest number of entries of a transaction.
	maxTransactionEntries = 100
	// maxFeedWait bounds the time for which a rows-feed call waits for a change.
	maxFeedWait = 30 * time.Second
)

// readOnlyTables are the tables that callers of the store must not write to; only
// the operator ("op") and the targets ("servers") do.
var readOnlyTables = map[string]bool{"op": true, "servers": true}

// Faults are the faults of the store that can be switched at run time. The zero
// value has none.
type Faults struct {
	// Status, if not 0, is the HTTP status returned to every call, which then has
	// no effect.
	Status int
	// OnlyFrom restricts Status, Reset and Unresponsive to callers with these IP addresses.
	OnlyFrom map[string]bool
	// Reset closes the connection without a response; the call has no effect.
	Reset bool
	// Unresponsive holds every call without effect or response while it is set, and
	// closes its connection afterwards.
	Unresponsive bool
	// Answer, if not empty, is written as it is in place of the response to every call, which
	// then has no effect. The connection is closed after it.
	Answer string
	// LoseAnswers applies transactions and closes the connection without a response.
	LoseAnswers bool
	// ApplyDelay is the time after which a transaction is applied whose response is lost.
	ApplyDelay time.Duration
	// Delay is the time by which every call is delayed before it takes effect.
	Delay time.Duration
}

// Store is one running store. It is safe for concurrent use.
type Store struct {
	tables *tables
	server *httpserver.Server

	mu     sync.Mutex
	faults Faults
	// calls counts the calls by name.
	calls map[string]int
	// hangFeeds says that calls that waited during the last restore stay unanswered.
	hangFeeds bool
	// feedsHeld says that no rows-feed call is answered.
	feedsHeld bool
}

// eraHeader counts the restores of the store in all its answers.
const eraHeader = "Store-Era"

// Start serves an empty store on address, IP:port; port 0 selects a free port.
func Start(address string) (*Store, error) {
	s := &Store{tables: newTables(), calls: map[string]int{}}
	s.server = httpserver.New(address, 0, s.handle)
	return s, s.server.Start()
}

// Address returns the IP:port of the store.
func (s *Store) Address() string { return s.server.Addr() }

// Close closes the listener and all connections.
func (s *Store) Close() error { return s.server.Close() }

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns the number of calls received with a name such as "rows-get".
func (s *Store) Calls(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[name]
}

// Put writes a row in the part with the empty name, as the operator or a target
// does.
func (s *Store) Put(table, key string, value []byte) {
	s.tables.apply(transaction{Set: []Row{{Table: table, Key: key, Value: encodeBase64(value)}}})
}

// Delete removes a row in the part with the empty name.
func (s *Store) Delete(table, key string) {
	s.tables.apply(transaction{Delete: []Row{{Table: table, Key: key}}})
}

// Keys returns the keys in a table's part with the empty name, at most maxRows.
func (s *Store) Keys(table string) []string {
	rows, _, _ := s.tables.list(table, "", "", "", maxRows)
	keys := make([]string, 0, len(rows))
	for _, r := range rows {
		keys = append(keys, r.Key)
	}
	return keys
}

// Copy is a copy of a store's contents.
type Copy struct{ contents *tablesCopy }

// Copy returns a copy of the contents, for Restore.
func (s *Store) Copy() Copy { return Copy{s.tables.copy()} }

// Restore replaces the contents by a copy: everything written since is lost, versions go
// back and are given out again, and the era rises by one. With hang, calls that wait for
// changes then get no answer for as long as they would have waited.
func (s *Store) Restore(c Copy, hang bool) {
	s.mu.Lock()
	s.hangFeeds = hang
	s.mu.Unlock()
	s.tables.restore(c.contents)
}

// DropHistory drops the history of changes, so that readers of the feed get status
// 410 and must read the rows again.
func (s *Store) DropHistory() { s.tables.dropHistory() }

func (s *Store) handle(ctx *fasthttp.RequestCtx) {
	name, id, _ := strings.Cut(strings.TrimPrefix(string(ctx.Path()), pathPrefix), "/")
	s.mu.Lock()
	s.calls[name]++
	f := s.faults
	s.mu.Unlock()
	if f.OnlyFrom == nil || f.OnlyFrom[ctx.RemoteIP().String()] {
		switch {
		case f.Status != 0:
			ctx.SetStatusCode(f.Status)
			return
		case f.Unresponsive:
			s.hold(ctx, s.unresponsive)
			return
		case f.Reset:
			_ = ctx.Conn().Close()
			return
		}
	}
	if f.Answer != "" {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { _, _ = io.WriteString(c, f.Answer) }) // the caller may have closed the connection
		return
	}
	time.Sleep(f.Delay)
	defer func() { ctx.Response.Header.Set(eraHeader, strconv.FormatInt(s.tables.currentEra(), 10)) }()
	if name == "rows-tx" && f.LoseAnswers {
		s.applyUnanswered(ctx, f.ApplyDelay)
		return
	}
	s.serve(ctx, name, id)
}

// hold leaves a call without an answer for as long as held says, then closes its connection.
func (s *Store) hold(ctx *fasthttp.RequestCtx, held func() bool) {
	for held() {
		time.Sleep(10 * time.Millisecond)
	}
	_ = ctx.Conn().Close()
}

func (s *Store) unresponsive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Unresponsive
}

// HoldFeeds begins or ends a time in which no rows-feed call is answered, also none that waits
// already, as on connections that have become silent. Other calls are served.
func (s *Store) HoldFeeds(hold bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.feedsHeld = hold
}

func (s *Store) holdsFeeds() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.feedsHeld
}

// applyUnanswered applies the transaction after the delay and closes the
// connection without a response.
func (s *Store) applyUnanswered(ctx *fasthttp.RequestCtx, delay time.Duration) {
	var tx transaction
	if json.Unmarshal(ctx.PostBody(), &tx) == nil {
		time.AfterFunc(delay, func() { s.tables.apply(tx) })
	}
	_ = ctx.Conn().Close()
}

func (s *Store) serve(ctx *fasthttp.RequestCtx, name, id string) {
	q := ctx.QueryArgs()
	argument := func(key string) string { return string(q.Peek(key)) }
	switch name {
	case "rows-tx":
		s.serveTransaction(ctx)
	case "rows-get":
		limit := q.GetUintOrZero("limit")
		if limit == 0 || limit > maxRows {
			limit = maxRows
		}
		rows, more, version := s.tables.list(argument("table"), argument("part"), argument("from"), argument("to"), limit)
		s.writeJSON(ctx, map[string]any{"rows": rows, "has_more": more, "ver": version, "now": s.now()})
	case "rows-parts":
		s.writeJSON(ctx, map[string]any{"parts": s.tables.parts(argument("table"), argument("after")), "has_more": false})
	case "rows-feed":
		after, err := strconv.ParseInt(argument("after"), 10, 64)
		if err != nil {
			ctx.SetStatusCode(fasthttp.StatusBadRequest)
			return
		}
		if s.holdsFeeds() {
			s.hold(ctx, s.holdsFeeds)
			return
		}
		wait := min(time.Duration(q.GetUintOrZero("wait_ms"))*time.Millisecond, maxFeedWait)
		began := s.tables.currentEra()
		rows, version, gone := s.tables.changesAfter(argument("table"), after, wait)
		if s.holdsFeeds() {
			s.hold(ctx, s.holdsFeeds)
			return
		}
		if s.tables.currentEra() != began && s.hangsFeeds() {
			time.Sleep(wait)
			_ = ctx.Conn().Close()
			return
		}
		if gone {
			ctx.SetStatusCode(fasthttp.StatusGone)
			return
		}
		s.writeJSON(ctx, map[string]any{"rows": rows, "ver": version, "now": s.now()})
	case "blob-put", "blob-get", "blob-drop", "blob-list":
		s.serveBlob(ctx, name, id)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (s *Store) hangsFeeds() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hangFeeds
}

func (s *Store) serveTransaction(ctx *fasthttp.RequestCtx) {
	var tx transaction
	if err := json.Unmarshal(ctx.PostBody(), &tx); err != nil || len(tx.Expect)+len(tx.Set)+len(tx.Delete) > maxTransactionEntries {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	for _, r := range append(append([]Row{}, tx.Set...), tx.Delete...) {
		if readOnlyTables[r.Table] {
			ctx.SetStatusCode(fasthttp.StatusForbidden)
			return
		}
	}
	version, conflict, ok := s.tables.apply(tx)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
		s.writeJSON(ctx, map[string]any{"rows": conflict, "ver": version, "now": s.now()})
		return
	}
	s.writeJSON(ctx, map[string]any{"ver": version, "now": s.now()})
}

// serveBlob serves the blob calls; id is the name of the object.
func (s *Store) serveBlob(ctx *fasthttp.RequestCtx, name, id string) {
	t := s.tables
	t.mu.Lock()
	defer t.mu.Unlock()
	data, exists := t.blobs[id]
	switch {
	case name == "blob-list":
		names := []string{}
		for n := range t.blobs {
			if strings.HasPrefix(n, string(ctx.QueryArgs().Peek("prefix"))) {
				names = append(names, n)
			}
		}
		s.writeJSON(ctx, map[string]any{"names": names, "has_more": false})
	case name == "blob-put" && exists && string(ctx.Request.Header.Peek("If-None-Match")) == "*":
		ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
	case name == "blob-put":
		t.blobs[id] = append([]byte(nil), ctx.PostBody()...)
	case !exists:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	case name == "blob-get":
		ctx.SetBody(data)
	default:
		delete(t.blobs, id)
	}
}

// now is the steady clock as answers show it.
func (s *Store) now() string { return strconv.FormatInt(s.tables.now().Milliseconds(), 10) + "ms" }

// writeJSON writes a JSON body and leaves the response status as it is.
func (s *Store) writeJSON(ctx *fasthttp.RequestCtx, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}
