package bmsettings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"strconv"
	"strings"

	"basilmoor.example/basilmoor"
)

// rule describes the right values of a setting.
type rule struct {
	text string
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Name declares a kebab-case name.
func (s *Set) Name(p *string, name, def, usage string) {
	r := rule{
		text: "a kebab-case name of 1 to 63 letters, digits and hyphens",
	}
	s.add(name, def, usage, r, false, func(v string) bool {
		*p = v
		return namePattern.MatchString(v)
	})
}

// Address declares an IP address and port. Port 0 lets the system choose.
func (s *Set) Address(p *string, name, def, usage string) {
	r := rule{
		text: "an IP address and port, such as 127.0.0.1:8080",
	}
	s.add(name, def, usage, r, false, func(v string) bool {
		*p = v
		_, err := netip.ParseAddrPort(v)
		return err == nil
	})
}

// OptionalAddress declares an IP address and port that may be empty.
func (s *Set) OptionalAddress(p *string, name, usage string) {
	r := rule{
		text: "empty, or an IP address and port",
	}
	s.add(name, "", usage, r, false, func(v string) bool {
		*p = v
		_, err := netip.ParseAddrPort(v)
		return v == "" || err == nil
	})
}

// URL declares the base URL of an HTTP service.
func (s *Set) URL(p *string, name, def, usage string) {
	r := rule{
		text: "an http or https URL with host and without query",
	}
	s.add(name, def, usage, r, false, func(v string) bool {
		*p = strings.TrimSuffix(v, "/")
		u, err := url.Parse(v)
		return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && u.RawQuery == ""
	})
}

// Int declares a whole number between low and high.
func (s *Set) Int(p *int, name string, def, low, high int, usage string) {
	r := rule{
		text: fmt.Sprintf("a whole number from %d to %d", low, high),
	}
	s.add(name, strconv.Itoa(def), usage, r, false, func(v string) bool {
		n, err := strconv.Atoi(v)
		*p = n
		return err == nil && n >= low && n <= high
	})
}

// Millis declares a duration in milliseconds between low and high.
func (s *Set) Millis(p *basilmoor.Millis, name string, def, low, high basilmoor.Millis, usage string) {
	r := rule{
		text: fmt.Sprintf("milliseconds, from %d to %d", low, high),
	}
	s.add(name, strconv.FormatInt(int64(def), 10), usage, r, false, func(v string) bool {
		n, err := strconv.ParseInt(v, 10, 64)
		*p = basilmoor.Millis(n)
		return err == nil && *p >= low && *p <= high
	})
}

// Bool declares a Boolean. The flag may stand without a value.
func (s *Set) Bool(p *bool, name, usage string) {
	r := rule{
		text: "true or false",
	}
	s.add(name, "false", usage, r, false, func(v string) bool {
		b, err := strconv.ParseBool(v)
		*p = b
		return err == nil
	})
	t := s.settings[len(s.settings)-1]
	f := s.flags.Lookup(name)
	f.Value = boolSetting{
		raw: &t.raw,
	}
}

// OneOf declares a choice.
func (s *Set) OneOf(p *string, name, def string, choices []string, usage string) {
	r := rule{
		text: "one of " + strings.Join(choices, ", "),
	}
	s.add(name, def, usage, r, false, func(v string) bool {
		*p = v
		for _, c := range choices {
			if v == c {
				return true
			}
		}
		return false
	})
}

// minSecretBytes keeps a fleet secret out of reach of guessing.
const minSecretBytes = 16

// Secret declares a secret of at least 16 bytes. A value that starts with @
// names a file that holds it.
func (s *Set) Secret(p *string, name, usage string) {
	r := rule{
		text: "at least 16 bytes, or @FILE with a file that holds them",
	}
	s.add(name, "", usage, r, true, func(v string) bool {
		if path, ok := strings.CutPrefix(v, "@"); ok {
			b, err := os.ReadFile(path)
			if err != nil {
				return false
			}
			v = strings.TrimSpace(string(b))
		}
		*p = v
		return len(v) >= minSecretBytes
	})
}

// Role is what an operator's token allows.
type Role string

// Roles of operators.
const (
	RoleViewer   Role = "viewer"
	RoleOperator Role = "operator"
)

// OperatorToken is the digest of one operator's token.
type OperatorToken struct {
	Name   string
	Role   Role
	Digest string // lower-case hexadecimal SHA-256
}

// OperatorTokens declares a list of NAME:ROLE:DIGEST.
func (s *Set) OperatorTokens(p *[]OperatorToken, name, usage string) {
	r := rule{
		text: "a comma-separated list of NAME:ROLE:DIGEST, ROLE being viewer or operator and DIGEST the hexadecimal SHA-256 of the token",
	}
	s.add(name, "", usage, r, false, func(v string) bool {
		tokens, ok := parseOperatorTokens(v)
		*p = tokens
		return ok
	})
}

func parseOperatorTokens(v string) ([]OperatorToken, bool) {
	var tokens []OperatorToken
	for _, item := range splitList(v) {
		f := strings.Split(item, ":")
		if len(f) != 3 || !namePattern.MatchString(f[0]) {
			return nil, false
		}
		role := Role(f[1])
		if role != RoleViewer && role != RoleOperator {
			return nil, false
		}
		if b, err := hex.DecodeString(f[2]); err != nil || len(b) != 32 {
			return nil, false
		}
		tokens = append(tokens, OperatorToken{
			Name:   f[0],
			Role:   role,
			Digest: strings.ToLower(f[2]),
		})
	}
	return tokens, true
}

func splitList(v string) []string {
	var items []string
	for _, item := range strings.Split(v, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

// Text declares free text.
func (s *Set) Text(p *string, name, def, usage string) {
	r := rule{
		text: "any text",
	}
	s.add(name, def, usage, r, false, func(v string) bool {
		*p = v
		return true
	})
}

// OptionalFile declares the name of a readable file that may be empty.
func (s *Set) OptionalFile(p *string, name, usage string) {
	r := rule{
		text: "empty, or the name of a readable file",
	}
	s.add(name, "", usage, r, false, func(v string) bool {
		*p = v
		if v == "" {
			return true
		}
		f, err := os.Open(v)
		if err != nil {
			return false
		}
		_ = f.Close()
		return true
	})
}
