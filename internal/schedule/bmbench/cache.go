package bmbench

import (
	"container/list"

	"basilmoor.example/basilmoor"
)

// blockCache is the prefix cache of a simulated engine. It evicts the least
// recently used blocks when running sequences need the memory.
type blockCache struct {
	blocks map[uint64]*list.Element
	lru    *list.List
}

func newBlockCache() *blockCache {
	return &blockCache{
		blocks: map[uint64]*list.Element{},
		lru:    list.New(),
	}
}

// cachedPrefix returns the number of leading digests that are cached.
func (c *blockCache) cachedPrefix(digests []uint64) int {
	for i, digest := range digests {
		if _, cached := c.blocks[digest]; !cached {
			return i
		}
	}
	return len(digests)
}

// touch inserts the blocks or marks them as used. It goes from the last to the
// first, so that later blocks of a prompt are evicted first.
func (c *blockCache) touch(digests []uint64) {
	for i := len(digests) - 1; i >= 0; i-- {
		if element, cached := c.blocks[digests[i]]; cached {
			c.lru.MoveToFront(element)
			continue
		}
		c.blocks[digests[i]] = c.lru.PushFront(digests[i])
	}
}

// evictTo evicts blocks until the cache holds at most the given tokens.
func (c *blockCache) evictTo(tokens int) {
	for c.lru.Len() > 0 && c.lru.Len()*basilmoor.PrefixBlockTokens > tokens {
		last := c.lru.Back()
		c.lru.Remove(last)
		delete(c.blocks, last.Value.(uint64))
	}
}
