package bmentry

import (
	"io"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against responses that together keep more than their budget, and against a
// budget that is used up by responses which have ended.
func TestBuffersShareABudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 100 << 10
		b := newBufferBudget(limit)
		sizes := map[*buffer]int{}
		var buffers []*buffer
		for range rapid.IntRange(0, 100).Draw(t, "steps") {
			if len(buffers) == 0 || rapid.Bool().Draw(t, "new") {
				buffers = append(buffers, b.newBuffer())
			}
			buf := buffers[rapid.IntRange(0, len(buffers)-1).Draw(t, "buffer")]
			size := rapid.IntRange(0, 2*limit).Draw(t, "size")
			used := b.used.Load()
			if buf.resize(size) {
				sizes[buf] = size
			} else {
				require.Equal(t, used, b.used.Load())
				require.Greater(t, used+int64(size-max(sizes[buf], freeBufferBytes)), int64(limit))
			}
			require.LessOrEqual(t, b.used.Load(), int64(limit))
			require.True(t, buf.resize(min(size, freeBufferBytes)), "a small response is always kept")
			sizes[buf] = min(size, freeBufferBytes)
		}
		for _, buf := range buffers {
			buf.release()
		}
		require.Zero(t, b.used.Load())
	})
}

// Guards against a response that is cut, or whose end is missed, where its buffer grows
// or ends.
func TestReadBuffered(t *testing.T) {
	errBroken := errors.New("broken")
	tests := map[string]struct {
		size  int
		limit int64
		end   error
		whole bool
		read  int // bytes in the buffer
	}{
		"empty":                      {size: 0, limit: 1 << 20, end: io.EOF, whole: true, read: 0},
		"one buffer":                 {size: readBufferBytes, limit: 1 << 20, end: io.EOF, whole: true, read: readBufferBytes},
		"several buffers":            {size: 100_000, limit: 1 << 20, end: io.EOF, whole: true, read: 100_000},
		"just below the bound":       {size: maxBufferedBytes - 1, limit: 1 << 20, end: io.EOF, whole: true, read: maxBufferedBytes - 1},
		"larger than the bound":      {size: 2 * maxBufferedBytes, limit: 1 << 20, end: io.EOF, read: maxBufferedBytes},
		"no budget, small":           {size: freeBufferBytes - 1, limit: 1, end: io.EOF, whole: true, read: freeBufferBytes - 1},
		"no budget, large":           {size: 100_000, limit: 1, end: io.EOF, read: freeBufferBytes},
		"broken after several parts": {size: 100_000, limit: 1 << 20, end: errBroken, read: 100_000},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			body := strings.Repeat("x", tt.size)
			b := newBufferBudget(tt.limit)
			buf := b.newBuffer()
			got, whole, err := readBuffered(&endingReader{
				Reader: strings.NewReader(body),
				end:    tt.end,
			}, buf)
			if errors.Is(tt.end, io.EOF) {
				require.NoError(t, err)
			} else {
				require.ErrorIs(t, err, tt.end)
			}
			require.Equal(t, tt.whole, whole)
			require.Equal(t, tt.read, len(got))
			buf.release()
			require.Zero(t, b.used.Load())
		})
	}
}

// endingReader ends with an error of its own.
type endingReader struct {
	io.Reader
	end error
}

// Read implements io.Reader.
func (r *endingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		return n, r.end
	}
	return n, err
}

// Guards against separators that are missed where two reads meet.
func TestEventsAcrossReads(t *testing.T) {
	const data = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\r\nrest"
	for step := 1; step <= len(data); step++ {
		var partial, relayed []byte
		for from := 0; from < len(data); from += step {
			all, n := appendToEvent(partial, []byte(data[from:min(from+step, len(data))]))
			relayed = append(relayed, all[:n]...)
			partial = append([]byte(nil), all[n:]...)
		}
		require.Equal(t, "rest", string(partial), "%d bytes at a time", step)
		require.Equal(t, strings.TrimSuffix(data, "rest"), string(relayed), "%d bytes at a time", step)
	}
}
