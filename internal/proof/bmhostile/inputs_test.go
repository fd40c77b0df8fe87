package bmhostile

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
)

const (
	// endlessBytes is where inputs without end stop if nothing has ended them.
	endlessBytes = 8 << 20

	// missingBytes is how far before their end bodies stop.
	missingBytes = 16
)

// manyFields returns distinct header fields of 8 bytes each, the costliest ones to keep
// for the bytes that they take on the wire.
func manyFields(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%05x:\r\n", i)
	}
	return b.String()
}

// sendUnfinishedHead sends a head of as many bytes as are served, without its end.
func sendUnfinishedHead(p *program, c net.Conn) {
	const margin = 512 // for the fields of an ordinary request
	_, _ = io.WriteString(c, p.head+manyFields(p.headLimit-margin))
}

// sendMoreFields continues an unfinished head far over the limit, and ends it.
func sendMoreFields(p *program, c net.Conn) {
	_, _ = io.WriteString(c, manyFields(16*p.headLimit)+"\r\n")
}

// sendEndlessField sends a head of which one field has no end.
func sendEndlessField(p *program, c net.Conn) {
	if _, err := io.WriteString(c, p.head+"Endless: "); err == nil {
		sendEndless(c, "0123456789abcdef")
	}
}

// sendEmptyLines sends empty lines without end before a request.
func sendEmptyLines(_ *program, c net.Conn) {
	sendEndless(c, "\r\n")
}

// sendEmptyLinesAfterRequest sends them after the answer to a request, where servers
// allow for one.
func sendEmptyLinesAfterRequest(p *program, c net.Conn) {
	if status, _ := exchange(c, p.head+"Content-Length: 6\r\n\r\nprompt"); status != 0 {
		sendEndless(c, "\r\n")
	}
}

// sendEndless repeats a text until the peer takes no more, or endlessBytes are sent.
func sendEndless(c net.Conn, text string) {
	block := strings.Repeat(text, max(64<<10/len(text), 1))
	for sent := 0; sent < endlessBytes; sent += len(block) {
		if _, err := io.WriteString(c, block); err != nil {
			return
		}
	}
}

// sendChunksOf returns an input that sends a body in chunks of a size and stops just
// short of the largest body that is served.
func sendChunksOf(size int) func(p *program, c net.Conn) {
	return func(p *program, c net.Conn) {
		w := bufio.NewWriterSize(c, 64<<10)
		if _, err := io.WriteString(w, p.head+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
			return
		}
		text := chunk(size)
		for sent := size; sent <= p.bodyLimit-missingBytes; sent += size {
			if _, err := io.WriteString(w, text); err != nil {
				return
			}
		}
		_ = w.Flush()
	}
}

// sendMoreChunks continues a body in chunks until the peer takes no more.
func sendMoreChunks(_ *program, c net.Conn) {
	sendEndless(c, chunk(1<<10))
}

func chunk(size int) string {
	return fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
}

// sendHugeChunkSize announces a chunk of the largest size that there is.
func sendHugeChunkSize(p *program, c net.Conn) {
	_, _ = io.WriteString(c, p.head+"Transfer-Encoding: chunked\r\n\r\n7fffffffffffffff\r\nx")
}

// sendEndlessExtension sends a chunk whose extension has no end.
func sendEndlessExtension(p *program, c net.Conn) {
	if _, err := io.WriteString(c, p.head+"Transfer-Encoding: chunked\r\n\r\n1;"); err == nil {
		sendEndless(c, "extension")
	}
}

// sendEndlessTrailer sends a body whose trailer has no end.
func sendEndlessTrailer(p *program, c net.Conn) {
	if _, err := io.WriteString(c, p.head+"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"); err == nil {
		sendEndless(c, "Trailer: x\r\n")
	}
}

// sendUnreadRequests sends many requests and reads no answer.
func sendUnreadRequests(p *program, c net.Conn) {
	const requests = 20
	_, _ = io.WriteString(c, strings.Repeat(p.head+"Content-Length: 6\r\n\r\nprompt", requests))
}

// sendAnnouncedOverLimit announces a body far over the limit and sends a part of it.
func sendAnnouncedOverLimit(p *program, c net.Conn) {
	_, _ = io.WriteString(c, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", p.head, 1<<40, strings.Repeat("x", p.bodyLimit)))
}

// sendAnnouncedOnly announces a body of the largest size and sends nothing of it.
func sendAnnouncedOnly(p *program, c net.Conn) {
	_, _ = io.WriteString(c, fmt.Sprintf("%sContent-Length: %d\r\n\r\n", p.head, p.bodyLimit))
}

// sendSizedShort announces a body of the largest size and stops just short of its end.
func sendSizedShort(p *program, c net.Conn) {
	_, _ = io.WriteString(c, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", p.head, p.bodyLimit, strings.Repeat("x", p.bodyLimit-missingBytes)))
}

// sendWholeUnanswered sends a whole request with the largest body that gets no answer.
func sendWholeUnanswered(p *program, c net.Conn) {
	_, _ = io.WriteString(c, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", p.unansweredHead, p.bodyLimit, strings.Repeat("x", p.bodyLimit)))
}

// sendProbeHead sends an unfinished head with many fields to a port for probes.
func sendProbeHead(_ *program, c net.Conn) {
	const size = 900 << 10 // below the limit that net/http has by default
	_, _ = io.WriteString(c, "GET /readyz HTTP/1.1\r\nHost: a\r\n"+manyFields(size))
}

// Types of HTTP/2 frames.
const (
	frameHeaders      = 1
	frameSettings     = 4
	frameContinuation = 9
)

// sendHTTP2Head sends HTTP/2 header frames with many fields and without an end.
func sendHTTP2Head(_ *program, c net.Conn) {
	const (
		frameBytes = 16 << 10
		totalBytes = 1 << 20
	)
	w := bufio.NewWriterSize(c, 64<<10)
	_, _ = io.WriteString(w, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
	writeFrame(w, frameSettings, 0, nil)
	// A literal field that is not indexed, with a name of one byte and an empty value.
	fields := []byte(strings.Repeat("\x00\x01a\x00", frameBytes/4))
	writeFrame(w, frameHeaders, 1, fields)
	for sent := len(fields); sent < totalBytes; sent += len(fields) {
		writeFrame(w, frameContinuation, 1, fields)
	}
	_ = w.Flush()
}

func writeFrame(w io.Writer, kind byte, stream uint32, payload []byte) {
	n := len(payload)
	head := []byte{byte(n >> 16), byte(n >> 8), byte(n), kind, 0}
	_, _ = w.Write(append(binary.BigEndian.AppendUint32(head, stream), payload...))
}

// exchange sends a request and returns the status of its answer; 0 if there is none.
func exchange(c net.Conn, request string) (int, error) {
	if _, err := io.WriteString(c, request); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
