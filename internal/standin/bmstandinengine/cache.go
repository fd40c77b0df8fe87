package bmstandinengine

import (
	"container/list"
	"hash/fnv"
	"strings"

	"basilmoor.example/basilmoor"
)

// PrefixDigests returns one digest for each prefix of a prompt that consists of
// full blocks of basilmoor.PrefixBlockTokens words, the shortest prefix first.
// A digest is the 64-bit FNV-1a hash of the model's name, a zero byte,
// and each word of the prefix followed by a space.
func PrefixDigests(model string, words []string) []uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(model + "\x00")) // Write of a hash never returns an error
	var digests []uint64
	for len(words) >= basilmoor.PrefixBlockTokens {
		block := words[:basilmoor.PrefixBlockTokens]
		words = words[basilmoor.PrefixBlockTokens:]
		_, _ = h.Write([]byte(strings.Join(block, " ") + " "))
		digests = append(digests, h.Sum64())
	}
	return digests
}

// prefixCache is an LRU cache of the blocks of prompt prefixes. It is not safe
// for concurrent use.
type prefixCache struct {
	maxBlocks int
	recency   *list.List
	blocks    map[uint64]*list.Element
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{
		maxBlocks: limit,
		recency:   list.New(),
		blocks:    make(map[uint64]*list.Element),
	}
}

// lookup returns the number of leading blocks that are cached, and marks them as
// used.
func (c *prefixCache) lookup(blocks []uint64) int {
	n := 0
	for n < len(blocks) && c.contains(blocks[n]) {
		n++
	}
	c.markUsed(blocks[:n])
	return n
}

// markUsed marks cached blocks as used. The first block becomes the most
// recently used one, so that later blocks of a prompt are evicted first: they
// are useless without the blocks before them.
func (c *prefixCache) markUsed(blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		c.recency.MoveToFront(c.blocks[blocks[i]])
	}
}

// insert adds the blocks of one prompt, up to maxBlocks of them, and returns the
// blocks that were added and those that were evicted.
func (c *prefixCache) insert(blocks []uint64) (stored, evicted []uint64) {
	blocks = blocks[:min(len(blocks), c.maxBlocks)]
	for _, b := range blocks {
		if c.contains(b) {
			continue
		}
		c.blocks[b] = c.recency.PushFront(b)
		stored = append(stored, b)
	}
	c.markUsed(blocks)
	for len(c.blocks) > c.maxBlocks {
		element := c.recency.Back()
		b, _ := c.recency.Remove(element).(uint64)
		delete(c.blocks, b)
		evicted = append(evicted, b)
	}
	return stored, evicted
}

// contains reports whether the block is cached, without marking it as used.
func (c *prefixCache) contains(block uint64) bool {
	_, ok := c.blocks[block]
	return ok
}
