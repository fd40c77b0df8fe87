package bmgateway

import (
	"crypto/sha256"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/core/bmlistener"
	"basilmoor.example/basilmoor/internal/core/bmmemory"
	"basilmoor.example/basilmoor/internal/request/bmcrash"
	"basilmoor.example/basilmoor/internal/request/bmlimit"
	"basilmoor.example/basilmoor/internal/request/bmrequest"
)

// call holds a request and the state of its processing.
type call struct {
	state         *bmrequest.Request
	workspace     basilmoor.Workspace
	kind          basilmoor.Kind
	request       *http.Request
	body          []byte
	key           string
	nonIdempotent bool // must run at most once
	nonStreaming  bool // an engine sends the response as one JSON object
	demand        basilmoor.Demand
	receivedAt    basilmoor.Millis
	claimedAt     basilmoor.Millis // time before the first call to the claimer
	sink          *sink
}

// needsClaim reports whether the request must claim its idempotency key before
// its dispatch.
func (c *call) needsClaim() bool {
	return c.nonIdempotent && c.key != ""
}

func (c *call) crashDigest() uint64 {
	return bmcrash.Digest(c.workspace.Name, c.request.Method, c.request.URL.RequestURI(), c.body)
}

func (c *call) claimRequest(host string) basilmoor.ClaimRequest {
	h := sha256.New()
	_, _ = io.WriteString(h, c.request.Method+"\x00"+c.request.URL.RequestURI()+"\x00")
	_, _ = h.Write(c.body)
	return basilmoor.ClaimRequest{
		Workspace:  c.workspace.Name,
		Key:        c.key,
		BodyDigest: [32]byte(h.Sum(nil)),
		Host:       host,
		Request:    c.state.ID(),
	}
}

// parse validates the request and builds its demand, or returns the refusal.
func (g *Gateway) parse(w http.ResponseWriter, r *http.Request, id basilmoor.RequestID) (*call, *problem) {
	received := g.cfg.Clock.Now()
	catalog, ok := g.cfg.Catalogs.Catalog()
	if !ok {
		return nil, newRefusal(basilmoor.ReasonNoConfiguration, "no configuration yet")
	}
	if g.cfg.IsIsolated != nil && g.cfg.IsIsolated() {
		return nil, newRefusal(basilmoor.ReasonIsolated, "neither store nor peers can be reached")
	}
	if bmlimit.HeaderBytes(r) > MaxHeaderBytes {
		p := newNotRunProblem(basilmoor.ReasonTooLarge, "headers exceed 64 KiB")
		p.status = http.StatusRequestHeaderFieldsTooLarge
		return nil, &p
	}
	workspace, ok := catalog.WorkspaceByToken(bearerToken(r))
	if !ok {
		w.Header().Set("WWW-Authenticate", "Bearer")
		return nil, newRefusal(basilmoor.ReasonUnauthorized, "")
	}
	c := &call{
		state:      bmrequest.New(id),
		workspace:  workspace,
		request:    r,
		receivedAt: received,
	}
	if p := checkRequestTarget(w, r); p != nil {
		return nil, p
	}
	if p := c.readKind(w, catalog, g.cfg.Clock); p != nil {
		return nil, p
	}
	if p := c.readIdempotencyKey(); p != nil {
		return nil, p
	}
	tier, p := c.tier(catalog)
	if p != nil {
		return nil, p
	}
	c.demand.Tier = tier.Rank
	g.fillDemand(c)
	c.sink = newSink(w, c)
	return c, nil
}

func newRefusal(reason basilmoor.Reason, detail string) *problem {
	p := newNotRunProblem(reason, detail)
	return &p
}

func bearerToken(r *http.Request) string {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

// checkRequestTarget refuses CONNECT, which needs a tunnel, and TRACE, which
// echoes the request, and paths that a target might resolve to another path than
// the one that was matched.
func checkRequestTarget(w http.ResponseWriter, r *http.Request) *problem {
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		return newRefusal(basilmoor.ReasonMethodNotAllowed, "CONNECT and TRACE are not served")
	}
	if r.URL.Path == ChatPath && r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		return newRefusal(basilmoor.ReasonMethodNotAllowed, "chat requests use POST")
	}
	if !strings.HasPrefix(r.URL.Path, "/") || r.URL.Host != "" {
		return newRefusal(basilmoor.ReasonMalformed, "the request target must be a path")
	}
	if !r.ProtoAtLeast(1, 1) {
		return newRefusal(basilmoor.ReasonMalformed, "HTTP/1.1 is needed to tell a complete response from one that broke off")
	}
	if isAmbiguousPath(r.URL.Path) {
		return newRefusal(basilmoor.ReasonMalformed, "the path has empty or dot segments or a backslash")
	}
	return nil
}

// isAmbiguousPath reports whether targets may resolve the path differently. Some
// remove parameters after a semicolon before they resolve dot segments.
func isAmbiguousPath(path string) bool {
	segments := strings.Split(path[1:], "/")
	for i, s := range segments {
		name, _, _ := strings.Cut(s, ";")
		if name == "." || name == ".." || (name == "" && i < len(segments)-1) {
			return true
		}
	}
	return strings.Contains(path, `\`)
}

// readKind reads the body, finds the kind of the request and sets the parts of
// the demand that depend on them.
func (c *call) readKind(w http.ResponseWriter, catalog basilmoor.Catalog, clock basilmoor.Clock) *problem {
	if c.request.URL.Path != ChatPath {
		kind, ok := catalog.KindByPath(c.request.URL.Path)
		if !ok {
			return newRefusal(basilmoor.ReasonUnknownKind, "no kind has a prefix of this path")
		}
		c.kind = kind
		c.demand.PromptTokens = kind.ExpectedPromptTokens
		c.demand.OutputTokens = kind.ExpectedOutputTokens
		return c.readBody(w, catalog, clock)
	}
	if p := c.readBody(w, catalog, clock); p != nil {
		return p
	}
	b, err := parseChat(c.body)
	if err != nil {
		return newRefusal(basilmoor.ReasonMalformed, err.Error())
	}
	kind, ok := catalog.KindByModel(b.model)
	if !ok {
		return newRefusal(basilmoor.ReasonUnknownKind, "no kind has this model")
	}
	c.kind = kind
	c.nonStreaming = !b.stream
	c.demand.Model = b.model
	c.demand.PromptTokens = b.promptTokens
	c.demand.PrefixDigests = b.prefixDigests
	c.demand.OutputTokens = firstPositive(b.outputTokens, kind.ExpectedOutputTokens, defaultOutputTokens)
	return nil
}

func firstPositive(values ...int) int {
	for _, v := range values {
		if v > 0 {
			return v
		}
	}
	return 0
}

// readBody reads the complete body into memory, so that the request doesn't
// depend on the caller's connection while it waits in the queue.
func (c *call) readBody(w http.ResponseWriter, catalog basilmoor.Catalog, clock basilmoor.Clock) *problem {
	if c.request.ContentLength > MaxBodyBytes {
		bmlistener.DiscardRest(w, c.request.Body, MaxBodyBytes)
		return newRefusal(basilmoor.ReasonTooLarge, "the body exceeds 4 MiB")
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(readTimeout.Duration()))
	account := bmlistener.AccountOf(c.request.Context())
	body, err := account.ReadBody(bmmemory.Body{
		Reader: http.MaxBytesReader(w, c.request.Body, MaxBodyBytes),
		Size:   c.request.ContentLength,
		Limit:  MaxBodyBytes,
		Rank:   c.bodyRank(catalog),
	}, clock)
	if errors.Is(err, bmmemory.ErrNoRoom) {
		bmlistener.DiscardRest(w, c.request.Body, MaxBodyBytes)
		return newRefusal(basilmoor.ReasonNoMemory, err.Error())
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		bmlistener.DiscardRest(w, c.request.Body, MaxBodyBytes)
		return newRefusal(basilmoor.ReasonTooLarge, "the body exceeds 4 MiB")
	}
	if err != nil {
		return newRefusal(basilmoor.ReasonMalformed, "the body broke off")
	}
	_ = rc.SetReadDeadline(time.Time{})
	c.body = body
	return nil
}

// bodyRank returns the rank by which the body gets memory: that of the kind's tier, if the
// kind is known before the body, or else of the workspace's default tier.
func (c *call) bodyRank(catalog basilmoor.Catalog) int {
	name := c.kind.Tier
	if name == "" {
		name = c.workspace.DefaultTier
	}
	tier, _ := catalog.TierByName(name)
	return tier.Rank
}

func (c *call) readIdempotencyKey() *problem {
	h := c.request.Header
	c.nonIdempotent = c.kind.NonIdempotent || strings.EqualFold(h.Get(HeaderNonIdempotent), "true")
	keys := h.Values(HeaderIdempotencyKey)
	if len(keys) == 0 || (len(keys) == 1 && keys[0] == "") {
		if c.kind.KeyRequired {
			return newRefusal(basilmoor.ReasonKeyRequired, "this kind of requests needs an Idempotency-Key header")
		}
		return nil
	}
	if len(keys) > 1 || len(keys[0]) > maxIdempotencyKeyBytes || !isPrintableASCII(keys[0]) {
		return newRefusal(basilmoor.ReasonMalformed, "Idempotency-Key must be one value of at most 255 printable ASCII characters")
	}
	c.key = keys[0]
	return nil
}

func isPrintableASCII(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// tier returns the tier of the request: the kind's tier, else the workspace's
// default. HeaderTier can select a lower tier; a higher one has no effect.
func (c *call) tier(catalog basilmoor.Catalog) (basilmoor.Tier, *problem) {
	name := c.kind.Tier
	if name == "" {
		name = c.workspace.DefaultTier
	}
	tier, ok := catalog.TierByName(name)
	if !ok {
		return tier, newRefusal(basilmoor.ReasonNoConfiguration, "the tier of this kind of requests is not configured")
	}
	requestedName := c.request.Header.Get(HeaderTier)
	if requestedName == "" {
		return tier, nil
	}
	requested, ok := catalog.TierByName(requestedName)
	if !ok {
		return tier, newRefusal(basilmoor.ReasonMalformed, "Basilmoor-Tier names no tier")
	}
	if requested.Rank > tier.Rank {
		return requested, nil
	}
	return tier, nil
}

func (g *Gateway) fillDemand(c *call) {
	d := &c.demand
	d.Request = c.state.ID()
	d.Host = g.cfg.Host
	d.DataCentre = g.cfg.DataCentre
	d.Workspace = c.workspace.Name
	d.Weight = max(c.workspace.Weight, 1)
	d.Kind = c.kind.Name
	d.Pool = c.kind.Pool
	d.BodyBytes = len(c.body)
	d.Deadline = c.kind.DeadlineMillis
	if d.Deadline <= 0 {
		d.Deadline = defaultDeadline
	}
}
