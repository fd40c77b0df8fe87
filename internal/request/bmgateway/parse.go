package bmgateway

import (
	"crypto/sha256"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
	"basilmoor.example/basilmoor/internal/request/bmcrash"
	"basilmoor.example/basilmoor/internal/request/bmlimit"
	"basilmoor.example/basilmoor/internal/request/bmrequest"
)

// call is an admitted request.
type call struct {
	aggregate *bmrequest.Request
	workspace basilmoor.Workspace
	kind      basilmoor.Kind
	request   *http.Request
	body      []byte
	key       string
	once      bool // may run at most once
	whole     bool // an engine sends the response in one piece
	demand    basilmoor.Demand
	received  basilmoor.Millis
	claimedAt basilmoor.Millis // before the first call for the claim
	sink      *sink
}

// claimed reports whether the request needs a claim.
func (c *call) claimed() bool {
	return c.once && c.key != ""
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
		Request:    c.aggregate.ID(),
	}
}

// parse checks the request and builds its demand, or returns why not.
func (g *Gateway) parse(w http.ResponseWriter, r *http.Request, id basilmoor.RequestID) (*call, *problem) {
	received := g.cfg.Clock.Now()
	catalog, ok := g.cfg.Catalogs.Catalog()
	if !ok {
		return nil, refusal(basilmoor.ReasonNoConfiguration, "no configuration yet")
	}
	if g.cfg.Isolated != nil && g.cfg.Isolated() {
		return nil, refusal(basilmoor.ReasonIsolated, "neither store nor peers can be reached")
	}
	if bmlimit.HeaderBytes(r) > MaxHeaderBytes {
		p := notRun(basilmoor.ReasonTooLarge, "headers exceed 64 KiB")
		p.status = http.StatusRequestHeaderFieldsTooLarge
		return nil, &p
	}
	workspace, ok := catalog.WorkspaceByToken(bearer(r))
	if !ok {
		w.Header().Set("WWW-Authenticate", "Bearer")
		return nil, refusal(basilmoor.ReasonUnauthorized, "")
	}
	c := &call{
		aggregate: bmrequest.New(id),
		workspace: workspace,
		request:   r,
		received:  received,
	}
	if p := checkTarget(w, r); p != nil {
		return nil, p
	}
	if p := c.readKind(w, catalog); p != nil {
		return nil, p
	}
	if p := c.readKey(); p != nil {
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

func refusal(reason basilmoor.Reason, detail string) *problem {
	p := notRun(reason, detail)
	return &p
}

func bearer(r *http.Request) string {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

// checkTarget refuses methods that need a tunnel or echo the request, and
// paths that a target could read as another path than the one that was
// matched.
func checkTarget(w http.ResponseWriter, r *http.Request) *problem {
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		return refusal(basilmoor.ReasonMethodNotAllowed, "CONNECT and TRACE are not served")
	}
	if r.URL.Path == ChatPath && r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		return refusal(basilmoor.ReasonMethodNotAllowed, "chat requests use POST")
	}
	if !strings.HasPrefix(r.URL.Path, "/") || r.URL.Host != "" {
		return refusal(basilmoor.ReasonMalformed, "the request target must be a path")
	}
	if !r.ProtoAtLeast(1, 1) {
		return refusal(basilmoor.ReasonMalformed, "HTTP/1.1 is needed to tell a complete response from one that broke off")
	}
	if ambiguous(r.URL.Path) {
		return refusal(basilmoor.ReasonMalformed, "the path has empty or dot segments or a backslash")
	}
	return nil
}

// ambiguous reports whether targets may differ in what the path means. Some
// drop parameters after a semicolon before they resolve dot segments.
func ambiguous(path string) bool {
	segments := strings.Split(path[1:], "/")
	for i, s := range segments {
		name, _, _ := strings.Cut(s, ";")
		if name == "." || name == ".." || (name == "" && i < len(segments)-1) {
			return true
		}
	}
	return strings.Contains(path, `\`)
}

// readKind reads the body and finds the kind of the request.
func (c *call) readKind(w http.ResponseWriter, catalog basilmoor.Catalog) *problem {
	if c.request.URL.Path != ChatPath {
		kind, ok := catalog.KindByPath(c.request.URL.Path)
		if !ok {
			return refusal(basilmoor.ReasonUnknownKind, "no kind has a prefix of this path")
		}
		c.kind = kind
		c.demand.PromptTokens = kind.ExpectedPromptTokens
		c.demand.OutputTokens = kind.ExpectedOutputTokens
		return c.readBody(w)
	}
	if p := c.readBody(w); p != nil {
		return p
	}
	b, err := parseChat(c.body)
	if err != nil {
		return refusal(basilmoor.ReasonMalformed, err.Error())
	}
	kind, ok := catalog.KindByModel(b.model)
	if !ok {
		return refusal(basilmoor.ReasonUnknownKind, "no kind has this model")
	}
	c.kind = kind
	c.whole = !b.stream
	c.demand.Model = b.model
	c.demand.PromptTokens = b.promptTokens
	c.demand.PrefixDigests = b.prefixes
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

// readBody reads the whole body, so that the request can wait without its
// caller's connection.
func (c *call) readBody(w http.ResponseWriter) *problem {
	if c.request.ContentLength > MaxBodyBytes {
		return refusal(basilmoor.ReasonTooLarge, "the body exceeds 4 MiB")
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(readTimeout.Duration()))
	body, err := io.ReadAll(http.MaxBytesReader(w, c.request.Body, MaxBodyBytes))
	_ = rc.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refusal(basilmoor.ReasonTooLarge, "the body exceeds 4 MiB")
	}
	if err != nil {
		return refusal(basilmoor.ReasonMalformed, "the body broke off")
	}
	c.body = body
	return nil
}

func (c *call) readKey() *problem {
	h := c.request.Header
	c.once = c.kind.NonIdempotent || strings.EqualFold(h.Get(HeaderNonIdempotent), "true")
	keys := h.Values(HeaderIdempotencyKey)
	if len(keys) == 0 || (len(keys) == 1 && keys[0] == "") {
		if c.kind.KeyRequired {
			return refusal(basilmoor.ReasonKeyRequired, "this kind of requests needs an Idempotency-Key header")
		}
		return nil
	}
	if len(keys) > 1 || len(keys[0]) > maxKeyBytes || !printable(keys[0]) {
		return refusal(basilmoor.ReasonMalformed, "Idempotency-Key must be one value of at most 255 printable ASCII characters")
	}
	c.key = keys[0]
	return nil
}

func printable(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// tier returns the tier of the kind or the workspace, or a lower one that the
// caller asks for. A higher one has no effect.
func (c *call) tier(catalog basilmoor.Catalog) (basilmoor.Tier, *problem) {
	name := c.kind.Tier
	if name == "" {
		name = c.workspace.DefaultTier
	}
	tier, ok := catalog.TierByName(name)
	if !ok {
		return tier, refusal(basilmoor.ReasonNoConfiguration, "the tier of this kind of requests is not configured")
	}
	asked := c.request.Header.Get(HeaderTier)
	if asked == "" {
		return tier, nil
	}
	lower, ok := catalog.TierByName(asked)
	if !ok {
		return tier, refusal(basilmoor.ReasonMalformed, "Basilmoor-Tier names no tier")
	}
	if lower.Rank > tier.Rank {
		return lower, nil
	}
	return tier, nil
}

func (g *Gateway) fillDemand(c *call) {
	d := &c.demand
	d.Request = c.aggregate.ID()
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
