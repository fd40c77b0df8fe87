package bmprocess

import (
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
)

const (
	callersPage   = "../../../docs/callers.md"
	outcomeHeader = "Basilmoor-Outcome"

	// callersNote adds the kinds of requests that the examples on the page use.
	callersNote = `schema: 1
note: callers-page
added:
  kinds:
    - {name: page-stock, pool: ledger, path-prefix: /stock, deadline-ms: 20000}
    - {name: page-order, pool: ledger, path-prefix: /orders, tier: payouts, non-idempotent: true, key-required: true, deadline-ms: 20000}
`
)

// curlCommands returns the curl commands in the indented code blocks of a page,
// with continuation lines joined.
func curlCommands(page string) []string {
	var commands []string
	joined := strings.ReplaceAll(page, "\\\n", " ")
	for _, line := range strings.Split(joined, "\n") {
		if strings.HasPrefix(line, "    curl ") {
			commands = append(commands, strings.TrimSpace(line))
		}
	}
	return commands
}

// splitCommand splits a command at white space outside of single quotes.
func splitCommand(command string) []string {
	var list []string
	for i, part := range strings.Split(command, "'") {
		if i%2 == 1 {
			list = append(list, part)
			continue
		}
		list = append(list, strings.Fields(part)...)
	}
	return list
}

// curlRequest returns the request that a curl command sends, with the address,
// the token and the model replaced by those of the test's fleet.
func curlRequest(t *testing.T, command, address string) *http.Request {
	t.Helper()
	var (
		target *url.URL
		body   string
	)
	header := make(http.Header)
	method := http.MethodGet
	list := splitCommand(command)[1:]
	for len(list) > 0 {
		word := list[0]
		list = list[1:]
		switch {
		case word == "-H":
			name, value, ok := strings.Cut(list[0], ": ")
			require.True(t, ok, list[0])
			header.Set(name, strings.Replace(value, "Bearer secret", "Bearer "+callerToken, 1))
			list = list[1:]
		case word == "-d":
			body = strings.Replace(list[0], `"m1"`, `"`+model+`"`, 1)
			method = http.MethodPost
			list = list[1:]
		case strings.HasPrefix(word, "-"):
			require.Empty(t, strings.Trim(word, "-sSNi"), "unsupported curl option %s", word)
		default:
			u, err := url.Parse(word)
			require.NoError(t, err)
			target = u
		}
	}
	require.NotNil(t, target, command)
	target.Host = address
	r, err := http.NewRequest(method, target.String(), strings.NewReader(body))
	require.NoError(t, err)
	r.Header = header
	return r
}

// Guards against examples in docs/callers.md that don't work.
func TestExamplesOfCallersPage(t *testing.T) {
	page, err := os.ReadFile(callersPage)
	require.NoError(t, err)
	commands := curlCommands(string(page))
	require.GreaterOrEqual(t, len(commands), 4, "the page's examples were not found")
	f := startFleet(t, 2)
	f.apply(callersNote)
	for i, command := range commands {
		t.Run(command, func(t *testing.T) {
			r := curlRequest(t, command, f.nodes[i%2].ready["callers"])
			w, err := http.DefaultClient.Do(r)
			require.NoError(t, err)
			defer func() { _ = w.Body.Close() }()
			b, err := io.ReadAll(w.Body)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, w.StatusCode, "%s", b)
			outcome := w.Header.Get(outcomeHeader) + w.Trailer.Get(outcomeHeader)
			require.Equal(t, string(basilmoor.OutcomeDone), outcome, "%s", b)
			require.NotEmpty(t, b)
		})
	}
	require.Len(t, f.executions(), len(commands))
}
