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

// rule tells the operator which values of a setting are valid.
type rule struct {
	description string
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Name declares a setting that is a kebab-case name.
func (s *FlagSet) Name(p *string, name, def, usage string) {
	r := rule{
		description: "a kebab-case name of 1 to 63 letters, digits and hyphens",
	}
	s.add(name, def, usage, r, false, func(v string) bool {
		*p = v
		return namePattern.MatchString(v)
	})
}

// Address declares a setting that is an IP address and port. With port 0 the
// system chooses a free port.
func (s *FlagSet) Address(p *string, name, def, usage string) {
	r := rule{
		description: "an IP address and port, such as 127.0.0.1:8080",
	}
	s.add(name, def, usage, r, false, func(v string) bool {
		*p = v
		_, err := netip.ParseAddrPort(v)
		return err == nil
	})
}

// OptionalAddress declares a setting that is an IP address and port, or empty.
func (s *FlagSet) OptionalAddress(p *string, name, usage string) {
	r := rule{
		description: "empty, or an IP address and port",
	}
	s.add(name, "", usage, r, false, func(v string) bool {
		*p = v
		_, err := netip.ParseAddrPort(v)
		return v == "" || err == nil
	})
}

// URL declares a setting that is the base URL of an HTTP service. A trailing
// slash is removed.
func (s *FlagSet) URL(p *string, name, def, usage string) {
	r := rule{
		description: "an http or https URL with host and without query",
	}
	s.add(name, def, usage, r, false, func(v string) bool {
		*p = strings.TrimSuffix(v, "/")
		u, err := url.Parse(v)
		return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && u.RawQuery == ""
	})
}

// Int declares a setting that is a whole number from low to high.
func (s *FlagSet) Int(p *int, name string, def, low, high int, usage string) {
	r := rule{
		description: fmt.Sprintf("a whole number from %d to %d", low, high),
	}
	s.add(name, strconv.Itoa(def), usage, r, false, func(v string) bool {
		n, err := strconv.Atoi(v)
		*p = n
		return err == nil && n >= low && n <= high
	})
}

// Millis declares a setting that is a duration in milliseconds, from low to
// high.
func (s *FlagSet) Millis(p *basilmoor.Millis, name string, def, low, high basilmoor.Millis, usage string) {
	r := rule{
		description: fmt.Sprintf("milliseconds, from %d to %d", low, high),
	}
	s.add(name, strconv.FormatInt(int64(def), 10), usage, r, false, func(v string) bool {
		n, err := strconv.ParseInt(v, 10, 64)
		*p = basilmoor.Millis(n)
		return err == nil && *p >= low && *p <= high
	})
}

// Bool declares a Boolean setting. A flag without a value means true.
func (s *FlagSet) Bool(p *bool, name, usage string) {
	r := rule{
		description: "true or false",
	}
	s.add(name, "false", usage, r, false, func(v string) bool {
		b, err := strconv.ParseBool(v)
		*p = b
		return err == nil
	})
	st := s.settings[len(s.settings)-1]
	f := s.flags.Lookup(name)
	f.Value = boolFlag{
		raw: &st.raw,
	}
}

// OneOf declares a setting whose value is one of choices.
func (s *FlagSet) OneOf(p *string, name, def string, choices []string, usage string) {
	r := rule{
		description: "one of " + strings.Join(choices, ", "),
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

// minSecretBytes makes it infeasible to guess a secret.
const minSecretBytes = 16

// Secret declares a setting that is a secret of at least 16 bytes. A value that
// starts with @ is the name of a file that contains the secret.
func (s *FlagSet) Secret(p *string, name, usage string) {
	r := rule{
		description: "at least 16 bytes, or @FILE with a file that holds them",
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

// Role is the access level of an operator's token.
type Role string

// Roles of operators. A viewer reads and checks; an operator may also apply
// changes.
const (
	RoleViewer   Role = "viewer"
	RoleOperator Role = "operator"
)

// OperatorToken identifies an operator by the digest of the operator's token.
type OperatorToken struct {
	Name   string
	Role   Role
	Digest string // lower-case hexadecimal SHA-256
}

// OperatorTokens declares a setting that is a comma-separated list of
// NAME:ROLE:DIGEST.
func (s *FlagSet) OperatorTokens(p *[]OperatorToken, name, usage string) {
	r := rule{
		description: "a comma-separated list of NAME:ROLE:DIGEST, ROLE being viewer or operator and DIGEST the hexadecimal SHA-256 of the token",
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

// Text declares a setting that is arbitrary text.
func (s *FlagSet) Text(p *string, name, def, usage string) {
	r := rule{
		description: "any text",
	}
	s.add(name, def, usage, r, false, func(v string) bool {
		*p = v
		return true
	})
}

// OptionalFile declares a setting that is the name of a readable file, or
// empty.
func (s *FlagSet) OptionalFile(p *string, name, usage string) {
	r := rule{
		description: "empty, or the name of a readable file",
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
