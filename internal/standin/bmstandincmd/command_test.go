package bmstandincmd

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

func env(values map[string]string) func(string) (string, bool) {
	return func(name string) (string, bool) {
		v, ok := values[name]
		return v, ok
	}
}

// Guards against a stand-in that doesn't announce its address, ignores its
// environment or doesn't stop when its context is canceled.
func TestRun(t *testing.T) {
	for name := range flagsOf {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			r, w := io.Pipe()
			c := Command{
				Args: []string{name},
				LookupEnv: env(map[string]string{
					"BASILMOOR_STANDIN_LISTEN": "127.0.0.1:0",
					"BASILMOOR_STANDIN_ROLE":   "decode",
				}),
				Stdout: w,
				Stderr: io.Discard,
			}
			code := make(chan int)
			go func() { code <- c.Run(ctx) }()
			line, err := bufio.NewReader(r).ReadBytes('\n')
			require.NoError(t, err)
			var a announcement
			require.NoError(t, json.Unmarshal(line, &a))
			response, err := http.Get("http://" + a.Listening + "/v1/models")
			require.NoError(t, err)
			body, err := io.ReadAll(response.Body)
			response.Body.Close()
			require.NoError(t, err)
			if name == "engine" {
				require.Contains(t, string(body), `"role":"decode"`)
			}
			cancel()
			require.Equal(t, exitOK, <-code)
		})
	}
}

// Guards against invalid settings that are silently ignored.
func TestInvalidSettings(t *testing.T) {
	tests := map[string]struct {
		args []string
		env  map[string]string
		want int
	}{
		"no stand-in": {
			want: exitUsage,
		},
		"unknown stand-in": {
			args: []string{"queue"},
			want: exitUsage,
		},
		"extra argument": {
			args: []string{"store", "x"},
			want: exitUsage,
		},
		"unknown flag": {
			args: []string{"store", "-x"},
			want: exitUsage,
		},
		"negative duration": {
			args: []string{"service", "-latency-ms", "-1"},
			want: exitUsage,
		},
		"bad environment": {
			args: []string{"engine"},
			env: map[string]string{
				"BASILMOOR_STANDIN_TIME_SCALE": "fast",
			},
			want: exitUsage,
		},
		"impossible engine": {
			args: []string{"engine", "-batch-limit", "0"},
			want: exitFailed,
		},
		"bad address": {
			args: []string{"hosts", "-listen", "127.0.0.1:x"},
			want: exitFailed,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var log bytes.Buffer
			c := Command{
				Args:      tt.args,
				LookupEnv: env(tt.env),
				Stdout:    io.Discard,
				Stderr:    &log,
			}
			require.Equal(t, tt.want, c.Run(context.Background()))
			require.NotEmpty(t, log.String())
		})
	}
}
