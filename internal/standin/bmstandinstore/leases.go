package bmstandinstore

import (
	"net/http"
	"strconv"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/standin/bmstandin"
)

type leaseGrant struct {
	ID string `json:"id"`
}

func (s *Store) grantLease(r request) (reply, bool) {
	ttl, err := strconv.ParseInt(r.URL.Query().Get("ttl-ms"), 10, 64)
	if err != nil || ttl <= 0 {
		return failWrite(http.StatusBadRequest, errorBody{
			Error: msgPositiveTTLRequired,
		})
	}
	id := s.state.grant(s.clock.Now(), basilmoor.Millis(ttl))
	return func(w http.ResponseWriter) {
		bmstandin.WriteJSON(w, http.StatusCreated, leaseGrant{
			ID: id,
		})
	}, true
}

func (s *Store) renewLease(r request) (reply, bool) {
	if !s.state.renew(s.clock.Now(), r.PathValue("id")) {
		return failWrite(http.StatusNotFound, errorBody{
			Error: msgLeaseNotFound,
		})
	}
	return noContent, true
}

func (s *Store) revokeLease(r request) (reply, bool) {
	if !s.state.revoke(r.PathValue("id")) {
		return failWrite(http.StatusNotFound, errorBody{
			Error: msgLeaseNotFound,
		})
	}
	s.expireLeases()
	return noContent, true
}

func noContent(w http.ResponseWriter) {
	w.WriteHeader(http.StatusNoContent)
}
