package bmstandinengine

import (
	"net/http"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/standin/bmstandin"
)

// KVExportRequest is the body of POST /v1/kv/export. Exactly one field is set.
type KVExportRequest struct {
	StreamID string   `json:"stream-id,omitempty"` // exports the blocks of its prompt
	Digests  []string `json:"digests,omitempty"`
}

// KVBlocks is the response to POST /v1/kv/export and the body of POST
// /v1/kv/import. The stand-in moves digests in place of cache memory.
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

// exportKV answers with the longest cached prefix of the blocks asked for.
func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
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
		q := e.find(request.StreamID)
		if q == nil {
			writeError(w, http.StatusNotFound, "stream-not-found", "no such stream")
			return
		}
		blocks = q.blocks
	}
	blocks = e.cached(blocks)
	e.transfer(r, len(blocks))
	bmstandin.WriteJSON(w, http.StatusOK, newKVBlocks(blocks))
}

func (e *Engine) cached(blocks []uint64) []uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return blocks[:e.cache.lookup(blocks)]
}

// importKV adds blocks to the prefix cache and answers with those it kept.
func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var kv KVBlocks
	if !bmstandin.ReadJSON(w, r, &kv) {
		return
	}
	blocks, err := parseDigests(kv.Digests)
	if err != nil {
		writeError(w, http.StatusBadRequest, "malformed", err.Error())
		return
	}
	e.transfer(r, len(blocks))
	e.mu.Lock()
	e.remember(blocks)
	kept := blocks[:e.cache.lookup(blocks)]
	e.mu.Unlock()
	bmstandin.WriteJSON(w, http.StatusOK, newKVBlocks(kept))
}

// transfer waits as long as moving the blocks takes.
func (e *Engine) transfer(r *http.Request, blocks int) {
	tokens := blocks * basilmoor.PrefixBlockTokens
	if e.clock.Sleep(r.Context(), e.scaled(e.settings.TransferMillis*float64(tokens))) != nil {
		bmstandin.Drop() // the client left, or the engine stops
	}
}

// scaled converts a duration of the settings to the clock.
func (e *Engine) scaled(millis float64) basilmoor.Millis {
	return basilmoor.Millis(millis * e.settings.TimeScale * e.process.Slow())
}
