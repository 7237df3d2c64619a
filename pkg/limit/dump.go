package limit

import "sort"

// Dump is the state of a Limiter for diagnostics. MaxIssuers is
// Params.MaxIssuers; Generations is the length of the History.
type Dump struct {
	MaxIssuers  int        `json:"k"`
	Generations int        `json:"generations"`
	Teams       []TeamDump `json:"teams"`
}

// TeamDump is the state of one team's pool. Amounts are in millitokens.
type TeamDump struct {
	Team string `json:"team"`
	// Divisor is that of the instance's Share.
	Divisor int64 `json:"parts"`
	// Tokens are the minted tokens in the bucket; Ceiling is that of the Share.
	Tokens  int64 `json:"tokens"`
	Ceiling int64 `json:"ceiling"`
	// OnLoan is the sum of the Loans that this instance has made; Borrowed is
	// the sum of the unspent tokens that it has borrowed.
	OnLoan   int64 `json:"on_loan"`
	Loans    int   `json:"loans"`
	Borrowed int64 `json:"borrowed"`
	Waiting  int   `json:"waiting"`
	// OpenBorrows are the requests for tokens that issuers have not answered
	// yet.
	OpenBorrows     int   `json:"open_asks"`
	DemandPerSecond int64 `json:"demand_per_second"`
	// LastUsedMS is the time since boot at the last use in milliseconds.
	LastUsedMS int64 `json:"last_used_ms"`
}

// Dump returns the pools that exist now, sorted by team.
func (l *Limiter) Dump() Dump {
	now := l.clock.SinceBoot()
	l.mu.RLock()
	entries := make([]*entry, 0, len(l.entries))
	for _, e := range l.entries {
		entries = append(entries, e)
	}
	l.mu.RUnlock()
	l.historyMu.RLock()
	d := Dump{MaxIssuers: l.params.MaxIssuers, Generations: len(l.history.gens), Teams: []TeamDump{}}
	l.historyMu.RUnlock()
	for _, e := range entries {
		e.mu.Lock()
		d.Teams = append(d.Teams, e.pool.dump(int64(e.pool.demand.rateAt(now))))
		e.mu.Unlock()
	}
	sort.Slice(d.Teams, func(i, j int) bool { return d.Teams[i].Team < d.Teams[j].Team })
	return d
}

func (p *Pool) dump(demandPerSecond int64) TeamDump {
	i := &p.issuer
	return TeamDump{
		Team: p.team, Divisor: i.share.Divisor, Tokens: i.bucket.millitokens, Ceiling: i.share.Ceiling(),
		OnLoan: i.onLoan, Loans: len(i.loans), Borrowed: p.available() - i.bucket.millitokens,
		Waiting: len(p.waiters), OpenBorrows: len(p.pendingBorrows), DemandPerSecond: demandPerSecond,
		LastUsedMS: p.lastUsed.Milliseconds(),
	}
}
