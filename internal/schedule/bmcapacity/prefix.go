package bmcapacity

import (
	"container/list"

	"basilmoor.example/basilmoor"
)

// prefixCache estimates which prompt prefixes an engine holds. It follows only
// the pool's own dispatches: cache events of engines arrive late and with
// gaps, while every prompt that the engine processes comes from this pool.
type prefixCache struct {
	maxBlocks int // 0 is no knowledge
	blocks    map[uint64]*list.Element
	recent    *list.List // of uint64, the most recently used first
}

func newPrefixCache(cacheTokens int) *prefixCache {
	return &prefixCache{
		maxBlocks: cacheTokens / basilmoor.PrefixBlockTokens,
		blocks:    map[uint64]*list.Element{},
		recent:    list.New(),
	}
}

// match returns the number of leading blocks that are held. Shorter prefixes
// are used at least as recently as longer ones, so the held blocks of a prompt
// are its first ones and can be searched by halving.
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

// use marks the blocks of a prompt as held, the shortest prefix as the most
// recently used.
func (c *prefixCache) use(digests []uint64) {
	if c.maxBlocks == 0 {
		return
	}
	for i := len(digests) - 1; i >= 0; i-- {
		digest := digests[i]
		if element, held := c.blocks[digest]; held {
			c.recent.MoveToFront(element)
			continue
		}
		c.blocks[digest] = c.recent.PushFront(digest)
	}
	c.shrink()
}

func (c *prefixCache) resize(cacheTokens int) {
	c.maxBlocks = cacheTokens / basilmoor.PrefixBlockTokens
	c.shrink()
}

func (c *prefixCache) shrink() {
	for c.recent.Len() > c.maxBlocks {
		last := c.recent.Back()
		c.recent.Remove(last)
		delete(c.blocks, last.Value.(uint64))
	}
}
