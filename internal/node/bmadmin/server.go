package bmadmin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"basilmoor.example/basilmoor/internal/node/bmsettings"
)

// maxNoteBytes limits the size of a release note. 25,000 workspaces take about
// 200 bytes each.
const maxNoteBytes = 8 << 20

// Server is the HTTP handler of the administration API.
type Server struct {
	backend Backend
	tokens  []bmsettings.OperatorToken
	logger  zerolog.Logger
	mux     *http.ServeMux
}

// New returns a handler that accepts only the given operator tokens.
func New(backend Backend, tokens []bmsettings.OperatorToken, log zerolog.Logger) *Server {
	s := &Server{
		backend: backend,
		tokens:  tokens,
		logger:  log,
		mux:     http.NewServeMux(),
	}
	s.handle("GET /v1/status", bmsettings.RoleViewer, s.status)
	s.handle("GET /v1/metrics", bmsettings.RoleViewer, s.metrics)
	s.handle("GET /v1/crashes", bmsettings.RoleViewer, s.crashes)
	s.handle("POST /v1/notes/check", bmsettings.RoleViewer, s.checkNote)
	s.handle("POST /v1/notes", bmsettings.RoleOperator, s.acceptNote)
	s.handle("POST /v1/store/restore", bmsettings.RoleOperator, s.restoreStore)
	s.handle("DELETE /v1/crashes/{digest}", bmsettings.RoleOperator, s.liftCrash)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// operatorHandler handles a request of the named operator. It returns an error
// to have the caller write the error response.
type operatorHandler func(w http.ResponseWriter, r *http.Request, operator string) error

func (s *Server) handle(pattern string, required bmsettings.Role, handler operatorHandler) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		token, ok := s.authenticate(r)
		if !ok {
			writeProblem(w, newProblem(http.StatusUnauthorized, "operator token required", ""))
			return
		}
		if required == bmsettings.RoleOperator && token.Role != bmsettings.RoleOperator {
			writeProblem(w, newProblem(http.StatusForbidden, "role operator required", "the token has role "+string(token.Role)))
			return
		}
		if err := handler(w, r, token.Name); err != nil {
			s.writeError(w, r, err)
		}
	})
}

// authenticate returns the operator token of the request. It compares the
// request's token with all known tokens in constant time, so that the time
// taken doesn't reveal which of them matches or comes close.
func (s *Server) authenticate(r *http.Request) (bmsettings.OperatorToken, bool) {
	value, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return bmsettings.OperatorToken{}, false
	}
	sum := sha256.Sum256([]byte(value))
	digest := []byte(hex.EncodeToString(sum[:]))
	var found bmsettings.OperatorToken
	matched := false
	for _, t := range s.tokens {
		if subtle.ConstantTimeCompare(digest, []byte(t.Digest)) == 1 {
			found = t
			matched = true
		}
	}
	return found, matched
}

func (s *Server) writeError(w http.ResponseWriter, r *http.Request, err error) {
	var p *ProblemError
	if errors.As(err, &p) {
		writeProblem(w, p.Problem)
		return
	}
	s.logger.Error().Err(err).Str("path", r.URL.Path).Msg("administration call failed")
	writeProblem(w, newProblem(http.StatusInternalServerError, "internal error", ""))
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request, _ string) error {
	return writeJSON(w, s.backend.Status())
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request, _ string) error {
	return writeJSON(w, s.backend.Counters())
}

func (s *Server) crashes(w http.ResponseWriter, _ *http.Request, _ string) error {
	list := []Crash{}
	for _, c := range s.backend.Crashes() {
		list = append(list, Crash{
			Digest:  strconv.FormatUint(c.Digest, 16),
			Targets: c.Targets,
			AgeMS:   int64(c.Age),
			Lifted:  c.Lifted,
		})
	}
	return writeJSON(w, list)
}

func (s *Server) liftCrash(w http.ResponseWriter, r *http.Request, operator string) error {
	digest, err := strconv.ParseUint(r.PathValue("digest"), 16, 64)
	if err != nil {
		return &ProblemError{
			Problem: newProblem(http.StatusBadRequest, "malformed digest", "a hexadecimal number of up to 16 digits is needed"),
		}
	}
	if !s.backend.LiftCrash(digest) {
		return &ProblemError{
			Problem: newProblem(http.StatusNotFound, "unknown digest", ""),
		}
	}
	s.logger.Info().Str("operator", operator).Uint64("digest", digest).Msg("held-back request allowed to run again")
	w.WriteHeader(http.StatusNoContent)
	return nil
}

func (s *Server) checkNote(w http.ResponseWriter, r *http.Request, _ string) error {
	note, err := readNote(w, r)
	if err != nil {
		return err
	}
	plan, err := s.backend.CheckNote(r.Context(), note)
	if err != nil {
		return err
	}
	return writeJSON(w, struct {
		Plan string `json:"plan"`
	}{
		Plan: plan,
	})
}

func (s *Server) acceptNote(w http.ResponseWriter, r *http.Request, operator string) error {
	note, err := readNote(w, r)
	if err != nil {
		return err
	}
	a, err := s.backend.AcceptNote(r.Context(), note, operator)
	if err != nil {
		return err
	}
	s.logger.Info().Str("operator", operator).Str("note", a.Note).Int64("version", a.Version).Msg("release note accepted")
	return writeJSON(w, a)
}

func (s *Server) restoreStore(w http.ResponseWriter, r *http.Request, operator string) error {
	version, err := s.backend.RestoreStore(r.Context())
	if err != nil {
		return err
	}
	s.logger.Info().Str("operator", operator).Int64("version", version).Msg("store restored")
	return writeJSON(w, RestoreResult{
		Version: version,
	})
}

func readNote(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	note, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxNoteBytes))
	if err != nil {
		return nil, &ProblemError{
			Problem: newProblem(http.StatusRequestEntityTooLarge, "release note too large", err.Error()),
		}
	}
	return note, nil
}

func newProblem(status int, title, detail string) Problem {
	return Problem{
		Type:   "about:blank",
		Title:  title,
		Status: status,
		Detail: detail,
	}
}

func writeProblem(w http.ResponseWriter, p Problem) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

func writeJSON(w http.ResponseWriter, v any) error {
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(v)
}
