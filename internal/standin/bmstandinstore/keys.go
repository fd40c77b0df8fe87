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

	notFound       = "not found"
	conflict       = "conflict"
	compacted      = "compacted"
	leaseNotFound  = "lease not found"
	wantVersion    = "want if-version"
	valueTooLarge  = "value too large"
	wantTTL        = "want a positive ttl-ms"
	wantAfterAndMs = "want after and wait-ms"
)

func setRecord(w http.ResponseWriter, version, revision int64) {
	w.Header().Set(versionHeader, strconv.FormatInt(version, 10))
	w.Header().Set(revisionHeader, strconv.FormatInt(revision, 10))
}

func (s *Store) get(w http.ResponseWriter, r request) {
	s.mu.Lock()
	s.sweep()
	found, ok := s.state.records[r.PathValue("key")]
	s.mu.Unlock()
	if !ok {
		failRead(w, http.StatusNotFound, problem{
			Error: notFound,
		})
		return
	}
	setRecord(w, found.version, found.revision)
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(found.value) // the client has left
}

// expect checks the version condition of a write.
func (s *Store) expect(r request) (refusal reply, ok bool) {
	want, err := strconv.ParseInt(r.URL.Query().Get("if-version"), 10, 64)
	if err != nil {
		refusal, _ = fail(http.StatusBadRequest, problem{
			Error: wantVersion,
		})
		return refusal, false
	}
	found := s.state.records[r.PathValue("key")]
	if found.version == want {
		return nil, true
	}
	refusal, _ = fail(http.StatusConflict, problem{
		Error:    conflict,
		Version:  found.version,
		Revision: found.revision,
	})
	return refusal, false
}

func (s *Store) put(r request) (reply, bool) {
	if len(r.value) > basilmoor.MaxValueBytes {
		return fail(http.StatusRequestEntityTooLarge, problem{
			Error: valueTooLarge,
		})
	}
	if refusal, ok := s.expect(r); !ok {
		return refusal, false
	}
	id := r.URL.Query().Get("lease")
	if _, ok := s.state.leases[id]; id != "" && !ok {
		return fail(http.StatusNotFound, problem{
			Error: leaseNotFound,
		})
	}
	written := s.state.put(r.PathValue("key"), r.value, id)
	return func(w http.ResponseWriter) {
		setRecord(w, written.version, written.revision)
		w.WriteHeader(http.StatusNoContent)
	}, true
}

func (s *Store) delete(r request) (reply, bool) {
	key := r.PathValue("key")
	if _, ok := s.state.records[key]; !ok {
		return fail(http.StatusNotFound, problem{
			Error: notFound,
		})
	}
	if refusal, ok := s.expect(r); !ok {
		return refusal, false
	}
	s.state.remove(key)
	revision := s.state.revision
	return func(w http.ResponseWriter) {
		setRecord(w, 0, revision)
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

func (s *Store) entries(prefix string) entryList {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep()
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
