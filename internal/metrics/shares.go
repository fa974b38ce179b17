package metrics

import (
	"encoding/json"
	"sync"
)

// Share is what an account is due and uses in a shortage, in cores; an accelerator counts as 8.
type Share struct {
	Due  float64 `json:"due"`
	Used float64 `json:"used"`
}

// Shares holds the accounts' shares on the owner while there is a shortage. It is an expvar.Var and safe for concurrent use.
type Shares struct {
	mu       sync.Mutex
	accounts map[string]Share
}

// Set replaces the shares.
func (s *Shares) Set(accounts map[string]Share) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accounts = accounts
}

// String returns the shares as a JSON object with the accounts' names as keys.
func (s *Shares) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	page, err := json.Marshal(s.accounts)
	if err != nil || s.accounts == nil {
		return "{}"
	}
	return string(page)
}
