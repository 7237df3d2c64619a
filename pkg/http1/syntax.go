package http1

import "bytes"

// Classes of bytes, as bits of classes.
const (
	// tokenByte is a byte of a token (RFC 9110, 5.6.2).
	tokenByte = 1 << iota
	// textByte is a byte of a field value or a reason phrase: HTAB, SP, VCHAR or obs-text
	// (RFC 9110, 5.5; RFC 9112, 4).
	textByte
)

// classes holds the classes of each byte.
var classes = func() (table [256]byte) {
	for c := range table {
		if c == '\t' || (c >= ' ' && c != 0x7f) {
			table[c] = textByte
		}
	}
	for c := range 128 {
		if isAlphanumeric(byte(c)) {
			table[c] |= tokenByte
		}
	}
	for _, c := range []byte("!#$%&'*+-.^_`|~") {
		table[c] |= tokenByte
	}
	return table
}()

func isAlphanumeric(c byte) bool {
	return isDigit(c) || (c|0x20 >= 'a' && c|0x20 <= 'z')
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// prefixOf returns the number of leading bytes of b in a class.
func prefixOf[T string | []byte](b T, class byte) int {
	for i := range len(b) {
		if classes[b[i]]&class == 0 {
			return i
		}
	}
	return len(b)
}

// isToken reports whether b is a token, such as the name of a field.
func isToken[T string | []byte](b T) bool { return len(b) > 0 && prefixOf(b, tokenByte) == len(b) }

// isText reports whether b may be a field value or a reason phrase.
func isText[T string | []byte](b T) bool { return prefixOf(b, textByte) == len(b) }

const (
	// protocol begins each status line.
	protocol = "HTTP/1."
	// minorAt, statusAt and statusEnd are positions in a status line such as "HTTP/1.1 200 OK".
	minorAt   = len(protocol)
	statusAt  = len("HTTP/1.1 ")
	statusEnd = len("HTTP/1.1 200")
	// minStatus and maxStatus bound the statuses that exist (RFC 9110, 15).
	minStatus, maxStatus = 100, 599
)

// parseStatus returns the status of a status line, of which at least the part up to the status
// must be given. reason is what is wrong; empty if nothing is.
func parseStatus(line []byte) (status int, reason string) {
	switch {
	case len(line) < statusEnd:
		return 0, "it is too short"
	case string(line[:minorAt]) != protocol || !isDigit(line[minorAt]) || line[minorAt+1] != ' ':
		return 0, "the protocol is not HTTP/1"
	}
	for _, c := range line[statusAt:statusEnd] {
		if !isDigit(c) {
			return 0, "the status is no number of three digits"
		}
		status = 10*status + int(c-'0')
	}
	if status < minStatus || status > maxStatus {
		return 0, "the status does not exist"
	}
	return status, ""
}

// checkStatusLine checks a status line without its line end.
func checkStatusLine(line []byte) error {
	if _, reason := parseStatus(line); reason != "" {
		return newSyntaxError(StatusLine, reason, line)
	}
	rest := line[statusEnd:]
	switch {
	case len(rest) > 0 && rest[0] != ' ':
		return newSyntaxError(StatusLine, "the status is no number of three digits", line)
	case !isText(rest):
		return newSyntaxError(StatusLine, "the reason phrase has a control character", line)
	}
	return nil
}

// checkHead checks a response head with the empty line at its end.
func checkHead(head []byte) error {
	line, fields, err := cutLine(head, StatusLine)
	if err != nil {
		return err
	}
	if err := checkStatusLine(line); err != nil {
		return err
	}
	f := framing{mayBeEncoded: line[minorAt] != '0'}
	return checkFields(fields, FieldLine, &f)
}

// cutLine returns the first line of data without its line end, and what follows it.
func cutLine(data []byte, part Part) (line, rest []byte, err error) {
	end := bytes.IndexByte(data, '\n')
	if end < 1 || data[end-1] != '\r' {
		return nil, nil, newSyntaxError(part, "it does not end with CRLF", data[:max(end, 0)])
	}
	return data[:end-1], data[end+1:], nil
}

// checkFields checks field lines up to the empty line after them. f gets those of a head; it is nil
// for trailers.
func checkFields(fields []byte, part Part, f *framing) error {
	for {
		line, rest, err := cutLine(fields, part)
		switch {
		case err != nil:
			return err
		case len(line) == 0:
			return nil
		}
		n := prefixOf(line, tokenByte)
		switch {
		case n == len(line):
			return newSyntaxError(part, "it has no colon", line)
		case n == 0 || line[n] != ':':
			return newSyntaxError(part, "the name is no token", line)
		case !isText(line[n+1:]):
			return newSyntaxError(part, "the value has a control character", line)
		}
		if f != nil {
			if err := f.add(line[:n], line[n+1:], line); err != nil {
				return err
			}
		}
		fields = rest
	}
}

// framing is what the fields of a head say about the length of the body (RFC 9112, 6).
type framing struct {
	// mayBeEncoded is false in HTTP/1.0, which has no Transfer-Encoding.
	mayBeEncoded bool
	// hasLength and isEncoded say that a Content-Length or a Transfer-Encoding was added.
	hasLength, isEncoded bool
}

var (
	contentLength    = []byte("Content-Length")
	transferEncoding = []byte("Transfer-Encoding")
	chunked          = []byte("chunked")
)

// maxLengthDigits bounds the digits of a Content-Length, so that it fits into 63 bits.
const maxLengthDigits = 18

// isLength reports whether b is the value of a Content-Length that can be read.
func isLength(b []byte) bool {
	for _, c := range b {
		if !isDigit(c) {
			return false
		}
	}
	return len(b) > 0 && len(b) <= maxLengthDigits
}

// add checks the next field of the head. line is its whole line.
func (f *framing) add(name, value, line []byte) error {
	switch {
	case len(name) == len(contentLength) && bytes.EqualFold(name, contentLength):
		if f.hasLength || f.isEncoded {
			return newSyntaxError(Framing, "the length is given more than once", line)
		}
		f.hasLength = true
		if !isLength(bytes.Trim(value, " \t")) {
			return newSyntaxError(Framing, "the length is no decimal number of up to 18 digits", line)
		}
	case len(name) == len(transferEncoding) && bytes.EqualFold(name, transferEncoding):
		if f.hasLength || f.isEncoded {
			return newSyntaxError(Framing, "the length is given more than once", line)
		}
		if !f.mayBeEncoded {
			return newSyntaxError(Framing, "HTTP/1.0 has no Transfer-Encoding", line)
		}
		if !bytes.EqualFold(bytes.Trim(value, " \t"), chunked) {
			return newSyntaxError(Framing, "the transfer coding is not supported", line)
		}
		f.isEncoded = true
	}
	return nil
}
