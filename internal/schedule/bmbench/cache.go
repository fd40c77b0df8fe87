package bmbench

import (
	"container/list"

	"basilmoor.example/basilmoor"
)

// blockCache is the prefix cache of a fake engine: least recently used blocks
// are dropped when running sequences need the memory.
type blockCache struct {
	blocks map[uint64]*list.Element
	recent *list.List
}

func newBlockCache() *blockCache {
	return &blockCache{
		blocks: map[uint64]*list.Element{},
		recent: list.New(),
	}
}

func (c *blockCache) match(digests []uint64) int {
	for i, digest := range digests {
		if _, held := c.blocks[digest]; !held {
			return i
		}
	}
	return len(digests)
}

// use inserts the blocks so that later blocks of a prompt are dropped first.
func (c *blockCache) use(digests []uint64) {
	for i := len(digests) - 1; i >= 0; i-- {
		if element, held := c.blocks[digests[i]]; held {
			c.recent.MoveToFront(element)
			continue
		}
		c.blocks[digests[i]] = c.recent.PushFront(digests[i])
	}
}

func (c *blockCache) shrink(tokens int) {
	for c.recent.Len() > 0 && c.recent.Len()*basilmoor.PrefixBlockTokens > tokens {
		last := c.recent.Back()
		c.recent.Remove(last)
		delete(c.blocks, last.Value.(uint64))
	}
}
