package bmstandinengine

import (
	"container/list"
	"hash/fnv"
	"strings"

	"basilmoor.example/basilmoor"
)

// PrefixDigests returns the digests of the growing prefixes of a prompt, the
// shortest first, one for each full block of basilmoor.PrefixBlockTokens
// words. A digest is the 64-bit FNV-1a hash of the model's name, a zero byte,
// and each word of the prefix followed by a space.
func PrefixDigests(model string, words []string) []uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(model + "\x00")) // a hash never fails
	var digests []uint64
	for len(words) >= basilmoor.PrefixBlockTokens {
		block := words[:basilmoor.PrefixBlockTokens]
		words = words[basilmoor.PrefixBlockTokens:]
		_, _ = h.Write([]byte(strings.Join(block, " ") + " "))
		digests = append(digests, h.Sum64())
	}
	return digests
}

// prefixCache holds blocks of prompt prefixes, the least recently used one
// being evicted first. It is not safe for concurrent use.
type prefixCache struct {
	limit  int // blocks
	order  *list.List
	blocks map[uint64]*list.Element
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{
		limit:  limit,
		order:  list.New(),
		blocks: make(map[uint64]*list.Element),
	}
}

// lookup returns the length of the longest cached prefix in blocks, and marks
// these blocks as used.
func (c *prefixCache) lookup(blocks []uint64) int {
	n := 0
	for n < len(blocks) && c.holds(blocks[n]) {
		n++
	}
	c.touch(blocks[:n])
	return n
}

// touch marks cached blocks as used, the head of the prompt as the latest, so
// that the tail is evicted before the head, without which it is of no use.
func (c *prefixCache) touch(blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		c.order.MoveToFront(c.blocks[blocks[i]])
	}
}

// insert adds the blocks of one prompt, as many as fit, and returns those that
// are new and those that were evicted.
func (c *prefixCache) insert(blocks []uint64) (stored, evicted []uint64) {
	blocks = blocks[:min(len(blocks), c.limit)]
	for _, b := range blocks {
		if c.holds(b) {
			continue
		}
		c.blocks[b] = c.order.PushFront(b)
		stored = append(stored, b)
	}
	c.touch(blocks)
	for len(c.blocks) > c.limit {
		element := c.order.Back()
		b, _ := c.order.Remove(element).(uint64)
		delete(c.blocks, b)
		evicted = append(evicted, b)
	}
	return stored, evicted
}

// holds reports whether the block is cached, without marking it as used.
func (c *prefixCache) holds(block uint64) bool {
	_, ok := c.blocks[block]
	return ok
}
