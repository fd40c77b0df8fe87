package bmgateway

import (
	"encoding/json"
	"unicode"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
)

// chatParams holds the parameters of a chat request that scheduling and dispatch
// use.
type chatParams struct {
	model         string
	promptTokens  int // estimated as the number of words in the messages
	outputTokens  int // max_tokens or max_completion_tokens; 0 if not set
	prefixDigests []uint64
	stream        bool // the caller requested an event stream
}

type chatBody struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	MaxTokens           *int          `json:"max_tokens"`
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type chatPart struct {
	Text string `json:"text"`
}

// parseChat parses the body of a chat request.
func parseChat(body []byte) (chatParams, error) {
	var b chatBody
	if err := json.Unmarshal(body, &b); err != nil {
		return chatParams{}, errors.Wrap(err, "body is not a chat request")
	}
	if b.Model == "" {
		return chatParams{}, errors.New("model is missing")
	}
	if len(b.Messages) == 0 {
		return chatParams{}, errors.New("messages are missing")
	}
	c := chatParams{
		model:  b.Model,
		stream: b.Stream,
	}
	for _, n := range []*int{b.MaxTokens, b.MaxCompletionTokens} {
		if n != nil && *n < 1 {
			return chatParams{}, errors.New("the bound on output tokens must be positive")
		}
		if n != nil {
			c.outputTokens = *n
		}
	}
	var p promptHasher
	for _, m := range b.Messages {
		texts, err := m.texts()
		if err != nil {
			return chatParams{}, err
		}
		p.addText(m.Role)
		for _, t := range texts {
			p.addText(t)
		}
	}
	c.promptTokens = p.words
	c.prefixDigests = p.prefixDigests
	return c, nil
}

// texts returns the texts of a message, whose content is a string, a list of
// parts or null.
func (m chatMessage) texts() ([]string, error) {
	if len(m.Content) == 0 || string(m.Content) == "null" {
		return nil, nil
	}
	var text string
	if json.Unmarshal(m.Content, &text) == nil {
		return []string{text}, nil
	}
	var parts []chatPart
	if err := json.Unmarshal(m.Content, &parts); err != nil {
		return nil, errors.Wrap(err, "content is neither text nor a list of parts")
	}
	texts := make([]string, 0, len(parts))
	for _, p := range parts {
		texts = append(texts, p.Text)
	}
	return texts, nil
}

// promptHasher counts the words of a prompt and computes a digest of each prefix
// that ends at a block of PrefixBlockTokens words.
type promptHasher struct {
	digest        xxhash.Digest
	initialized   bool
	words         int
	prefixDigests []uint64
}

func (p *promptHasher) addText(text string) {
	start := -1
	for i, r := range text {
		switch {
		case unicode.IsSpace(r) && start >= 0:
			p.addWord(text[start:i])
			start = -1
		case !unicode.IsSpace(r) && start < 0:
			start = i
		}
	}
	if start >= 0 {
		p.addWord(text[start:])
	}
}

func (p *promptHasher) addWord(w string) {
	p.words++
	if len(p.prefixDigests) == maxPrefixDigests {
		return
	}
	if !p.initialized {
		p.digest.Reset()
		p.initialized = true
	}
	_, _ = p.digest.WriteString(w)
	_, _ = p.digest.WriteString(" ")
	if p.words%basilmoor.PrefixBlockTokens == 0 {
		p.prefixDigests = append(p.prefixDigests, p.digest.Sum64())
	}
}
