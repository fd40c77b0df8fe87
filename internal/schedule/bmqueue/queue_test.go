package bmqueue

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"basilmoor.example/basilmoor"
)

func demand(id, workspace string, weight, tokens int) basilmoor.Demand {
	return basilmoor.Demand{
		Request:      basilmoor.RequestID(id),
		Workspace:    workspace,
		Weight:       weight,
		PromptTokens: tokens,
		Deadline:     basilmoor.Minute,
		BodyBytes:    10,
	}
}

func anyClass(Class) bool {
	return true
}

func takeAll(q *Queue) (ids []string) {
	for item := q.Peek(anyClass); item != nil; item = q.Peek(anyClass) {
		q.Dequeue(item)
		ids = append(ids, string(item.Demand.Request))
	}
	return ids
}

// Guards against a workspace getting more than its weighted share by sending
// many or large requests.
func TestWorkspacesShareByWeight(t *testing.T) {
	q := New(DefaultConfig())
	for i := range 90 {
		q.Push(0, demand(fmt.Sprintf("a%02d", i), "a", 3, 100), 0)
		q.Push(0, demand(fmt.Sprintf("b%02d", i), "b", 1, 100), 0)
		q.Push(0, demand(fmt.Sprintf("c%02d", i), "c", 1, 200), Class(i%2))
	}
	tokens := map[byte]int{}
	for range 60 {
		item := q.Peek(anyClass)
		q.Dequeue(item)
		tokens[item.Demand.Request[0]] += item.Demand.Tokens()
	}
	require.InDelta(t, 3.0, float64(tokens['a'])/float64(tokens['b']), 0.5)
	require.InDelta(t, 1.0, float64(tokens['c'])/float64(tokens['b']), 0.3)
}

// Guards against a workspace accumulating credit while it is idle and then
// blocking the other workspaces.
func TestIdleWorkspaceGetsNoCredit(t *testing.T) {
	q := New(DefaultConfig())
	for i := range 50 {
		q.Push(0, demand(fmt.Sprintf("a%02d", i), "a", 1, 100), 0)
	}
	for range 40 {
		q.Dequeue(q.Peek(anyClass))
	}
	for i := range 10 {
		q.Push(0, demand(fmt.Sprintf("b%02d", i), "b", 1, 100), 0)
	}
	order := takeAll(q)
	require.Contains(t, order[:4], "a40")
	require.Contains(t, order[:4], "b00")
}

// Guards against a continuous stream of short requests starving a long one.
func TestLongRequestIsOvertakenForABoundedTime(t *testing.T) {
	q := New(DefaultConfig())
	q.Push(0, demand("long", "a", 1, 2000), 0)
	q.Push(1900, demand("soon", "a", 1, 20), 0)
	q.Push(2100, demand("late", "a", 1, 20), 0)
	require.Equal(t, []string{"soon", "long", "late"}, takeAll(q))
}

// Guards against head-of-line blocking by a demand that no free target can
// serve.
func TestBestSkipsClassesThatDoNotFit(t *testing.T) {
	q := New(DefaultConfig())
	q.Push(0, demand("x", "a", 1, 10), 1)
	q.Push(1, demand("y", "a", 1, 10), 2)
	item := q.Peek(func(c Class) bool { return c == 2 })
	require.Equal(t, basilmoor.RequestID("y"), item.Demand.Request)
	require.Nil(t, q.Peek(func(Class) bool { return false }))
}

// Guards against the byte limit being exceeded, and against losing demands that
// were tentatively evicted for an arrival that is then refused.
func TestBytesAreBounded(t *testing.T) {
	q := New(Config{
		MaxCount: 100,
		MaxBytes: 40,
	})
	for i := range 4 {
		d := demand(fmt.Sprint(i), "a", 1, 10)
		d.Tier = i
		_, accepted := q.Push(basilmoor.Millis(i), d, 0)
		require.True(t, accepted)
	}
	large := demand("large", "a", 1, 10)
	large.Tier = 2
	large.BodyBytes = 30
	_, accepted := q.Push(9, large, 0)
	require.False(t, accepted, "two demands of higher tiers and an older one of the same tier must not be displaced")
	require.Equal(t, 4, q.Len())
	large.BodyBytes = 10
	displaced, accepted := q.Push(9, large, 0)
	require.True(t, accepted)
	require.Len(t, displaced, 1)
	require.Equal(t, 3, displaced[0].Demand.Tier)
	require.Equal(t, 40, q.Bytes())
}

// BenchmarkQueue measures one Push and one Dequeue with 50,000 waiting demands of
// 5,000 workspaces and 10 classes.
func BenchmarkQueue(b *testing.B) {
	q := New(Config{
		MaxCount: 100_000,
		MaxBytes: 1 << 30,
	})
	push := func(i int) {
		d := demand(fmt.Sprint(i), fmt.Sprint("w", i*7%5000), 1+i%3, 50+i*31%2000)
		d.Tier = i % 3
		q.Push(basilmoor.Millis(i/4), d, Class(i%10))
	}
	const waiting = 50_000
	for i := range waiting {
		push(i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		push(waiting + i)
		q.Dequeue(q.Peek(anyClass))
	}
}
