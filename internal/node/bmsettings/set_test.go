package bmsettings

import (
	"bytes"
	"errors"
	"flag"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// emptyDigest is the SHA-256 of no bytes.
const emptyDigest = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"

func validSettings() map[string]string {
	return map[string]string{
		"host":            "entry-1",
		"data-centre":     "bole",
		"region":          "addis",
		"store-url":       "http://127.0.0.1:7000",
		"host-list-url":   "http://127.0.0.1:7001",
		"fleet-secret":    "0123456789abcdef",
		"operator-tokens": "alem:operator:" + emptyDigest,
	}
}

func parse(values map[string]string, env map[string]string) (*NodeSettings, string, error) {
	s, n := NewNodeSet()
	var args []string
	for name, v := range values {
		args = append(args, "-"+name+"="+v)
	}
	var out bytes.Buffer
	_, err := s.Parse(args, func(name string) (string, bool) {
		v, ok := env[name]
		return v, ok
	}, &out)
	return n, out.String(), err
}

// Guards against accepting an invalid setting or reporting it without its name,
// value and rule.
func TestWrongSettingIsNamed(t *testing.T) {
	tests := map[string]string{
		"host":                    "Entry 1",
		"data-centre":             "",
		"region":                  "-x",
		"callers-address":         "localhost:80",
		"peers-address":           "127.0.0.1",
		"admin-address":           "127.0.0.1:99999",
		"advertise-address":       "host:1",
		"store-url":               "127.0.0.1:7000",
		"host-list-url":           "ftp://127.0.0.1",
		"peer-certificate":        "/does/not/exist",
		"peer-key":                "/does/not/exist",
		"peer-authority":          "/does/not/exist",
		"operator-tokens":         "alem:admin:" + emptyDigest,
		"stop-limit-ms":           "-1",
		"first-byte-ms":           "1s",
		"between-bytes-ms":        "0",
		"store-timeout-ms":        "1",
		"store-reads-per-second":  "0",
		"store-writes-per-second": "501",
		"queue-requests":          "none",
		"queue-bytes":             "1",
		"memory-mb":               "1",
		"log-level":               "loud",
	}
	for name, value := range tests {
		t.Run(name, func(t *testing.T) {
			values := validSettings()
			values[name] = value
			_, _, err := parse(values, nil)
			var invalid *InvalidError
			require.True(t, errors.As(err, &invalid))
			require.Len(t, invalid.Settings, 1)
			require.Equal(t, name, invalid.Settings[0].Setting)
			require.Equal(t, value, invalid.Settings[0].Value)
			require.NotEmpty(t, invalid.Settings[0].Rule)
		})
	}
	s, _ := NewNodeSet()
	covered := len(tests) + 1 // fleet-secret is covered by TestWrongSecretIsHidden
	require.Len(t, s.settings, covered, "every setting needs an invalid value in this test")
}

// Guards against printing a secret in an error.
func TestWrongSecretIsHidden(t *testing.T) {
	values := validSettings()
	values["fleet-secret"] = "short"
	_, _, err := parse(values, nil)
	require.ErrorContains(t, err, "fleet-secret")
	require.NotContains(t, err.Error(), "short")
}

// Guards against reporting only the first invalid setting.
func TestAllInvalidSettingsAreReported(t *testing.T) {
	_, _, err := parse(map[string]string{"log-level": "loud"}, nil)
	var invalid *InvalidError
	require.True(t, errors.As(err, &invalid))
	require.Len(t, invalid.Settings, 7)
}

// Guards against an environment variable overriding a flag.
func TestPrecedence(t *testing.T) {
	values := validSettings()
	n, _, err := parse(values, map[string]string{
		"BASILMOOR_HOST":      "from-env",
		"BASILMOOR_LOG_LEVEL": "debug",
	})
	require.NoError(t, err)
	require.Equal(t, "entry-1", n.Host)
	require.Equal(t, "debug", n.LogLevel)
	require.Equal(t, 50, n.StoreReads)
}

// Guards against omitting a setting from the help.
func TestHelpNamesEverySetting(t *testing.T) {
	s, _ := NewNodeSet()
	var out bytes.Buffer
	_, err := s.Parse([]string{"-h"}, func(string) (string, bool) { return "", false }, &out)
	require.ErrorIs(t, err, flag.ErrHelp)
	for _, st := range s.settings {
		require.True(t, strings.Contains(out.String(), "-"+st.name+" "), st.name)
		require.True(t, strings.Contains(out.String(), st.env()), st.name)
	}
}
