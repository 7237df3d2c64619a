package storesim

import (
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/arbutuslink/arbutuslink/pkg/lab/httpserver"
)

const (
	prefix = "/arbutuslink/"
	// maxRows is the largest number of rows in one answer.
	maxRows = 500
	// maxEntries is the largest number of entries of a transaction.
	maxEntries = 100
	maxWait    = 30 * time.Second
)

// tables that only the operator and the targets write to.
var foreign = map[string]bool{"op": true, "servers": true}

// Faults are what the store does wrong. The zero value does nothing wrong.
type Faults struct {
	// Status, if set, is the answer to every call; nothing is done.
	Status int
	// OnlyFrom restricts Status, Reset and Silent to callers with these IP addresses.
	OnlyFrom map[string]bool
	// Reset closes the connection without an answer; nothing is done.
	Reset bool
	// Silent neither acts nor answers while it is set.
	Silent bool
	// LoseAnswers performs writes and closes the connection without an answer.
	LoseAnswers bool
	// Late performs writes whose answers are lost after this time.
	Late time.Duration
	// Delay postpones every answer.
	Delay time.Duration
}

// Store is one running store.
type Store struct {
	tables *tables
	server *httpserver.Server

	mu     sync.Mutex
	faults Faults
	calls  map[string]int
}

// Start serves an empty store on address (IP:port; port 0 picks one).
func Start(address string) (*Store, error) {
	s := &Store{tables: newTables(), calls: map[string]int{}}
	s.server = httpserver.New(address, 0, s.handle)
	return s, s.server.Start()
}

// Address returns the IP:port of the store.
func (s *Store) Address() string { return s.server.Addr() }

// Close ends the store and its connections.
func (s *Store) Close() error { return s.server.Close() }

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns how often a call, such as "rows-get", was made.
func (s *Store) Calls(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[name]
}

// Put writes a row in the empty part, as the operator or a target does.
func (s *Store) Put(table, key string, value []byte) {
	s.tables.apply(transaction{Set: []Row{{Table: table, Key: key, Value: encode(value)}}})
}

// Delete removes a row in the empty part.
func (s *Store) Delete(table, key string) {
	s.tables.apply(transaction{Delete: []Row{{Table: table, Key: key}}})
}

// Keys returns the keys of a table's empty part.
func (s *Store) Keys(table string) []string {
	rows, _, _ := s.tables.list(table, "", "", "", maxRows)
	keys := make([]string, 0, len(rows))
	for _, r := range rows {
		keys = append(keys, r.Key)
	}
	return keys
}

// Forget drops the history, so that feeds must start anew.
func (s *Store) Forget() { s.tables.forget() }

func (s *Store) handle(ctx *fasthttp.RequestCtx) {
	name, id, _ := strings.Cut(strings.TrimPrefix(string(ctx.Path()), prefix), "/")
	s.mu.Lock()
	s.calls[name]++
	f := s.faults
	s.mu.Unlock()
	if f.OnlyFrom == nil || f.OnlyFrom[ctx.RemoteIP().String()] {
		switch {
		case f.Status != 0:
			ctx.SetStatusCode(f.Status)
			return
		case f.Silent:
			s.silence(ctx)
			return
		case f.Reset:
			_ = ctx.Conn().Close()
			return
		}
	}
	time.Sleep(f.Delay)
	if name == "rows-tx" && f.LoseAnswers {
		s.loseAnswer(ctx, f.Late)
		return
	}
	s.serve(ctx, name, id)
}

// silence holds the call until the fault ends, then breaks the connection.
func (s *Store) silence(ctx *fasthttp.RequestCtx) {
	for {
		time.Sleep(10 * time.Millisecond)
		s.mu.Lock()
		silent := s.faults.Silent
		s.mu.Unlock()
		if !silent {
			_ = ctx.Conn().Close()
			return
		}
	}
}

func (s *Store) loseAnswer(ctx *fasthttp.RequestCtx, late time.Duration) {
	var tx transaction
	if json.Unmarshal(ctx.PostBody(), &tx) == nil {
		time.AfterFunc(late, func() { s.tables.apply(tx) })
	}
	_ = ctx.Conn().Close()
}

func (s *Store) serve(ctx *fasthttp.RequestCtx, name, id string) {
	q := ctx.QueryArgs()
	text := func(key string) string { return string(q.Peek(key)) }
	switch name {
	case "rows-tx":
		s.change(ctx)
	case "rows-get":
		limit := q.GetUintOrZero("limit")
		if limit == 0 || limit > maxRows {
			limit = maxRows
		}
		rows, more, version := s.tables.list(text("table"), text("part"), text("from"), text("to"), limit)
		s.answer(ctx, map[string]any{"rows": rows, "has_more": more, "ver": version})
	case "rows-parts":
		s.answer(ctx, map[string]any{"parts": s.tables.parts(text("table"), text("after")), "has_more": false})
	case "rows-feed":
		after, err := strconv.ParseInt(text("after"), 10, 64)
		if err != nil {
			ctx.SetStatusCode(fasthttp.StatusBadRequest)
			return
		}
		wait := min(time.Duration(q.GetUintOrZero("wait_ms"))*time.Millisecond, maxWait)
		rows, version, gone := s.tables.feed(text("table"), after, wait)
		if gone {
			ctx.SetStatusCode(fasthttp.StatusGone)
			return
		}
		s.answer(ctx, map[string]any{"rows": rows, "ver": version})
	case "blob-put", "blob-get", "blob-drop", "blob-list":
		s.blob(ctx, name, id)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (s *Store) change(ctx *fasthttp.RequestCtx) {
	var tx transaction
	if err := json.Unmarshal(ctx.PostBody(), &tx); err != nil || len(tx.Expect)+len(tx.Set)+len(tx.Delete) > maxEntries {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	for _, r := range append(append([]Row{}, tx.Set...), tx.Delete...) {
		if foreign[r.Table] {
			ctx.SetStatusCode(fasthttp.StatusForbidden)
			return
		}
	}
	version, conflict, ok := s.tables.apply(tx)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
		s.answer(ctx, map[string]any{"rows": conflict, "ver": version})
		return
	}
	s.answer(ctx, map[string]any{"ver": version})
}

func (s *Store) blob(ctx *fasthttp.RequestCtx, name, id string) {
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
		s.answer(ctx, map[string]any{"names": names, "has_more": false})
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

// answer writes a JSON body and keeps the status that was set.
func (s *Store) answer(ctx *fasthttp.RequestCtx, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}
