package api

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/oleanderbend/oleanderbend/internal/settings"
)

// role is the permission level of a caller. A higher role includes the lower ones.
type role int

const (
	roleNone role = iota
	roleRead
	roleOperate
)

// tokens holds the configured bearer tokens. Only their digests are stored, so a comparison takes
// the same time for secrets of any length.
type tokens struct {
	entries []tokenEntry
	// open is set when no tokens are configured; every caller then gets roleOperate. Provision
	// allows this on loopback addresses only.
	open bool
}

type tokenEntry struct {
	name   string
	role   role
	digest [sha256.Size]byte
}

func newTokens(configured []settings.Token) tokens {
	t := tokens{open: len(configured) == 0}
	for _, c := range configured {
		granted := roleRead
		if c.Role == "operate" {
			granted = roleOperate
		}
		t.entries = append(t.entries, tokenEntry{name: c.Name, role: granted, digest: sha256.Sum256([]byte(c.Secret))})
	}
	return t
}

// authenticate returns the token name and role of the caller, or roleNone if no token matches. It
// compares with every token, so the time taken does not reveal which one matched.
func (t tokens) authenticate(r *http.Request) (string, role) {
	if t.open {
		return "", roleOperate
	}
	scheme, secret, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return "", roleNone
	}
	digest := sha256.Sum256([]byte(strings.TrimSpace(secret)))
	name, granted := "", roleNone
	for _, e := range t.entries {
		if subtle.ConstantTimeCompare(digest[:], e.digest[:]) == 1 {
			name, granted = e.name, e.role
		}
	}
	return name, granted
}
