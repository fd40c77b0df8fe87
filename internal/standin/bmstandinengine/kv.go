package bmstandinengine

import (
	"net/http"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/standin/bmstandin"
)

// KVExportRequest is the body of POST /v1/kv/export. Exactly one field must be
// set.
type KVExportRequest struct {
	StreamID string   `json:"stream-id,omitempty"` // exports the blocks of the stream's prompt
	Digests  []string `json:"digests,omitempty"`
}

// KVBlocks is the response to POST /v1/kv/export and the body of POST
// /v1/kv/import. The simulated engine transfers digests instead of cache memory.
type KVBlocks struct {
	Digests []string `json:"digests"` // the shortest prefix first
	Tokens  int      `json:"tokens"`
}

func newKVBlocks(blocks []uint64) KVBlocks {
	kv := KVBlocks{
		Digests: []string{},
		Tokens:  len(blocks) * basilmoor.PrefixBlockTokens,
	}
	for _, b := range blocks {
		kv.Digests = append(kv.Digests, FormatDigest(b))
	}
	return kv
}

func parseDigests(texts []string) ([]uint64, error) {
	blocks := make([]uint64, 0, len(texts))
	for _, t := range texts {
		b, err := parseDigest(t)
		if err != nil {
			return nil, err
		}
		blocks = append(blocks, b)
	}
	return blocks, nil
}

// serveKVExport handles POST /v1/kv/export. It returns the longest cached prefix
// of the requested blocks.
func (e *Engine) serveKVExport(w http.ResponseWriter, r *http.Request) {
	var request KVExportRequest
	if !bmstandin.ReadJSON(w, r, &request) {
		return
	}
	blocks, err := parseDigests(request.Digests)
	if err != nil {
		writeError(w, http.StatusBadRequest, "malformed", err.Error())
		return
	}
	if request.StreamID != "" {
		q := e.findStream(request.StreamID)
		if q == nil {
			writeError(w, http.StatusNotFound, "stream-not-found", "no such stream")
			return
		}
		blocks = q.blocks
	}
	blocks = e.cachedPrefix(blocks)
	e.delayTransfer(r, len(blocks))
	bmstandin.WriteJSON(w, http.StatusOK, newKVBlocks(blocks))
}

// cachedPrefix returns the leading blocks that are cached.
func (e *Engine) cachedPrefix(blocks []uint64) []uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return blocks[:e.cache.lookup(blocks)]
}

// serveKVImport handles POST /v1/kv/import. It adds the blocks to the prefix
// cache and returns those that the cache kept.
func (e *Engine) serveKVImport(w http.ResponseWriter, r *http.Request) {
	var kv KVBlocks
	if !bmstandin.ReadJSON(w, r, &kv) {
		return
	}
	blocks, err := parseDigests(kv.Digests)
	if err != nil {
		writeError(w, http.StatusBadRequest, "malformed", err.Error())
		return
	}
	e.delayTransfer(r, len(blocks))
	e.mu.Lock()
	e.cacheBlocks(blocks)
	kept := blocks[:e.cache.lookup(blocks)]
	e.mu.Unlock()
	bmstandin.WriteJSON(w, http.StatusOK, newKVBlocks(kept))
}

// delayTransfer waits for the simulated transfer time of the blocks.
func (e *Engine) delayTransfer(r *http.Request, blocks int) {
	tokens := blocks * basilmoor.PrefixBlockTokens
	if e.clock.Sleep(r.Context(), e.scaled(e.settings.TransferMillis*float64(tokens))) != nil {
		bmstandin.AbortResponse() // the client disconnected or the server is closed
	}
}

// scaled applies the time scale and the slow-factor fault to a duration of the
// settings.
func (e *Engine) scaled(millis float64) basilmoor.Millis {
	return basilmoor.Millis(millis * e.settings.TimeScale * e.process.SlowFactor())
}
