package bmgateway

import (
	"encoding/json"
	"unicode"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"basilmoor.example/basilmoor"
)

// chat is what the gateway needs of a chat request.
type chat struct {
	model        string
	promptTokens int // words of the messages
	outputTokens int // max_tokens; 0 if not told
	prefixes     []uint64
	stream       bool // the response is asked for as an event stream
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

// parseChat reads the body of a chat request.
func parseChat(body []byte) (chat, error) {
	var b chatBody
	if err := json.Unmarshal(body, &b); err != nil {
		return chat{}, errors.Wrap(err, "body is not a chat request")
	}
	if b.Model == "" {
		return chat{}, errors.New("model is missing")
	}
	if len(b.Messages) == 0 {
		return chat{}, errors.New("messages are missing")
	}
	c := chat{
		model:  b.Model,
		stream: b.Stream,
	}
	for _, n := range []*int{b.MaxTokens, b.MaxCompletionTokens} {
		if n != nil && *n < 1 {
			return chat{}, errors.New("the bound on output tokens must be positive")
		}
		if n != nil {
			c.outputTokens = *n
		}
	}
	var p prompt
	for _, m := range b.Messages {
		texts, err := m.texts()
		if err != nil {
			return chat{}, err
		}
		p.add(m.Role)
		for _, t := range texts {
			p.add(t)
		}
	}
	c.promptTokens = p.words
	c.prefixes = p.prefixes
	return c, nil
}

// texts returns the text of a message, whose content is a string, a list of
// parts, or null.
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

// prompt counts words and digests growing prefixes of whole blocks.
type prompt struct {
	digest   xxhash.Digest
	started  bool
	words    int
	prefixes []uint64
}

func (p *prompt) add(text string) {
	start := -1
	for i, r := range text {
		switch {
		case unicode.IsSpace(r) && start >= 0:
			p.word(text[start:i])
			start = -1
		case !unicode.IsSpace(r) && start < 0:
			start = i
		}
	}
	if start >= 0 {
		p.word(text[start:])
	}
}

func (p *prompt) word(w string) {
	p.words++
	if len(p.prefixes) == maxPrefixDigests {
		return
	}
	if !p.started {
		p.digest.Reset()
		p.started = true
	}
	_, _ = p.digest.WriteString(w)
	_, _ = p.digest.WriteString(" ")
	if p.words%basilmoor.PrefixBlockTokens == 0 {
		p.prefixes = append(p.prefixes, p.digest.Sum64())
	}
}
