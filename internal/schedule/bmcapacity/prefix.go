package bmcapacity

import (
	"container/list"

	"basilmoor.example/basilmoor"
)

// prefixCache estimates which prompt prefixes are in an engine's cache. It models
// the cache as an LRU list of prefix blocks and is updated only by the pool's own
// dispatches: cache events of engines arrive late and with gaps, while every
// prompt that the engine processes comes from this pool.
type prefixCache struct {
	maxBlocks int // 0 disables the estimate
	blocks    map[uint64]*list.Element
	lru       *list.List // of uint64 digests, most recently used first
}

func newPrefixCache(cacheTokens int) *prefixCache {
	return &prefixCache{
		maxBlocks: cacheTokens / basilmoor.PrefixBlockTokens,
		blocks:    map[uint64]*list.Element{},
		lru:       list.New(),
	}
}

// match returns the number of leading blocks that are cached. Shorter prefixes are
// used at least as recently as longer ones, so the cached blocks of a prompt are
// contiguous from its start, which allows a binary search.
func (c *prefixCache) match(digests []uint64) int {
	low, high := 0, len(digests)
	for low < high {
		mid := (low + high + 1) / 2
		if _, held := c.blocks[digests[mid-1]]; held {
			low = mid
		} else {
			high = mid - 1
		}
	}
	return low
}

// use marks the blocks of a prompt as cached. The shortest prefix becomes the most
// recently used.
func (c *prefixCache) use(digests []uint64) {
	if c.maxBlocks == 0 {
		return
	}
	for i := len(digests) - 1; i >= 0; i-- {
		digest := digests[i]
		if element, held := c.blocks[digest]; held {
			c.lru.MoveToFront(element)
			continue
		}
		c.blocks[digest] = c.lru.PushFront(digest)
	}
	c.evict()
}

func (c *prefixCache) resize(cacheTokens int) {
	c.maxBlocks = cacheTokens / basilmoor.PrefixBlockTokens
	c.evict()
}

// evict removes the least recently used blocks beyond maxBlocks.
func (c *prefixCache) evict() {
	for c.lru.Len() > c.maxBlocks {
		last := c.lru.Back()
		c.lru.Remove(last)
		delete(c.blocks, last.Value.(uint64))
	}
}
