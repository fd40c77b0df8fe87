package bmstandinstore

import (
	"net/http"
	"strconv"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/standin/bmstandin"
)

const (
	versionHeader  = "Store-Version"
	revisionHeader = "Store-Revision"

	msgNotFound             = "not found"
	msgConflict             = "conflict"
	msgCompacted            = "compacted"
	msgLeaseNotFound        = "lease not found"
	msgIfVersionRequired    = "want if-version"
	msgValueTooLarge        = "value too large"
	msgPositiveTTLRequired  = "want a positive ttl-ms"
	msgAfterAndWaitRequired = "want after and wait-ms"
)

// setRecordHeaders sets the headers that carry a version and a revision.
func setRecordHeaders(w http.ResponseWriter, version, revision int64) {
	w.Header().Set(versionHeader, strconv.FormatInt(version, 10))
	w.Header().Set(revisionHeader, strconv.FormatInt(revision, 10))
}

func (s *Store) get(w http.ResponseWriter, r request) {
	s.mu.Lock()
	s.expireLeases()
	found, ok := s.state.records[r.PathValue("key")]
	s.mu.Unlock()
	if !ok {
		failRead(w, http.StatusNotFound, errorBody{
			Error: msgNotFound,
		})
		return
	}
	setRecordHeaders(w, found.version, found.revision)
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(found.value) // fails only if the client disconnected
}

// checkVersion checks the if-version condition of a write. If it does not hold,
// checkVersion returns the reply to send and false. The caller must hold mu.
func (s *Store) checkVersion(r request) (refusal reply, ok bool) {
	want, err := strconv.ParseInt(r.URL.Query().Get("if-version"), 10, 64)
	if err != nil {
		refusal, _ = failWrite(http.StatusBadRequest, errorBody{
			Error: msgIfVersionRequired,
		})
		return refusal, false
	}
	found := s.state.records[r.PathValue("key")]
	if found.version == want {
		return nil, true
	}
	refusal, _ = failWrite(http.StatusConflict, errorBody{
		Error:    msgConflict,
		Version:  found.version,
		Revision: found.revision,
	})
	return refusal, false
}

func (s *Store) put(r request) (reply, bool) {
	if len(r.value) > basilmoor.MaxValueBytes {
		return failWrite(http.StatusRequestEntityTooLarge, errorBody{
			Error: msgValueTooLarge,
		})
	}
	if refusal, ok := s.checkVersion(r); !ok {
		return refusal, false
	}
	id := r.URL.Query().Get("lease")
	if _, ok := s.state.leases[id]; id != "" && !ok {
		return failWrite(http.StatusNotFound, errorBody{
			Error: msgLeaseNotFound,
		})
	}
	written := s.state.put(r.PathValue("key"), r.value, id)
	return func(w http.ResponseWriter) {
		setRecordHeaders(w, written.version, written.revision)
		w.WriteHeader(http.StatusNoContent)
	}, true
}

func (s *Store) delete(r request) (reply, bool) {
	key := r.PathValue("key")
	if _, ok := s.state.records[key]; !ok {
		return failWrite(http.StatusNotFound, errorBody{
			Error: msgNotFound,
		})
	}
	if refusal, ok := s.checkVersion(r); !ok {
		return refusal, false
	}
	s.state.deleteKey(key)
	revision := s.state.revision
	return func(w http.ResponseWriter) {
		setRecordHeaders(w, 0, revision)
		w.WriteHeader(http.StatusNoContent)
	}, true
}

type wireEntry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Version  int64  `json:"version"`
	Revision int64  `json:"revision"`
}

type entryList struct {
	Entries  []wireEntry `json:"entries"`
	Revision int64       `json:"revision"`
}

func (s *Store) list(w http.ResponseWriter, r request) {
	bmstandin.WriteJSON(w, http.StatusOK, s.entries(r.URL.Query().Get("prefix")))
}

// entries returns the entries whose keys start with prefix, sorted by key.
func (s *Store) entries(prefix string) entryList {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	list := entryList{
		Entries:  []wireEntry{},
		Revision: s.state.revision,
	}
	for _, key := range s.state.keys(prefix) {
		found := s.state.records[key]
		list.Entries = append(list.Entries, wireEntry{
			Key:      key,
			Value:    found.value,
			Version:  found.version,
			Revision: found.revision,
		})
	}
	return list
}
