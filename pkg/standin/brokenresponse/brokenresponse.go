// Package brokenresponse has responses of faulty upstreams that RFC 9112 does not allow. No
// reader may take them for the response to a request. Tests send them on each path on which
// responses are read, and close the connection after them. Their bodies are JSON, so that a
// reader of JSON does not refuse them for another reason.
package brokenresponse

import (
	"bufio"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
)

// Accept calls serve with each connection of ln and closes the connection when serve returns. It
// returns once ln is closed.
func Accept(ln net.Listener, serve func(net.Conn)) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			serve(c)
		}()
	}
}

// Serve responds to the requests on each connection of ln with these responses, one after the
// other, and then closes the connection. It returns once ln is closed.
func Serve(ln net.Listener, responses ...string) {
	Accept(ln, func(c net.Conn) { serveConn(c, responses) })
}

func serveConn(c net.Conn, responses []string) {
	r := bufio.NewReader(c)
	for _, response := range responses {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(c, response)
	}
}

// All returns the responses of the other functions.
func All(lines string) map[string]string {
	out := InvalidStatusLines(lines)
	maps.Copy(out, InvalidFields(lines))
	maps.Copy(out, InvalidFraming(lines))
	return out
}

// InvalidStatusLines returns, by name, responses with an invalid status line and the given
// lines in their heads. Where another response follows, a reader that skips the first would
// take that one.
func InvalidStatusLines(lines string) map[string]string {
	rest := lines + "Content-Length: 3\r\n\r\n{}\n"
	valid := "HTTP/1.1 200 OK\r\n" + rest
	return map[string]string{
		"status 000":                  "HTTP/1.1 000 OK\r\n" + rest,
		"status 000 before another":   "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n" + valid,
		"status 000, body is another": "HTTP/1.1 000 OK\r\n\r\n" + valid,
		"status 099":                  "HTTP/1.1 099 OK\r\n\r\n" + valid,
		"status 600":                  "HTTP/1.1 600 OK\r\n" + rest,
		"status 999":                  "HTTP/1.1 999 OK\r\n" + rest,
		"status with a sign":          "HTTP/1.1 +20 OK\r\n\r\n" + valid,
		"status of two digits":        "HTTP/1.1 20 OK\r\n" + rest,
		"status of four digits":       "HTTP/1.1 2000 OK\r\n" + rest,
		"no status":                   "HTTP/1.1\r\n" + rest,
		"two blanks":                  "HTTP/1.1  200 OK\r\n" + rest,
		"blank before the version":    " HTTP/1.1 200 OK\r\n" + rest,
		"version 2.0":                 "HTTP/2.0 200 OK\r\n" + rest,
		"version 9.9":                 "HTTP/9.9 200 OK\r\n" + rest,
		"version in lower case":       "http/1.1 200 OK\r\n" + rest,
		"empty line":                  "\r\n" + valid,
		"field in its place":          lines + "Content-Length: 3\r\n\r\n{}\n",
	}
}

// InvalidFields returns, by name, responses with an invalid line among the fields of their heads,
// and with the given lines.
func InvalidFields(lines string) map[string]string {
	const body = "Content-Length: 3\r\n\r\n{}\n"
	ok := "HTTP/1.1 200 OK\r\n" + lines
	return map[string]string{
		"blank in a name":             ok + "A b: c\r\n" + body,
		"blank after a name":          ok + "A : b\r\n" + body,
		"blank after the length":      ok + "Content-Length : 3\r\n\r\n{}\ntwo",
		"blank after the encoding":    ok + "Transfer-Encoding : chunked\r\n\r\n3\r\n{}\n\r\n0\r\n\r\n",
		"blank before a name":         ok + "A: b\r\n C: d\r\n" + body,
		"blank before the length":     ok + "A: b\r\n Content-Length: 3\r\n\r\n{}\ntwo",
		"blank before the first name": "HTTP/1.1 200 OK\r\n A: b\r\n" + lines + body,
		"line of a blank":             ok + "A: b\r\n \r\n" + body,
		"tab before a name":           ok + "A: b\r\n\tC: d\r\n" + body,
		"tab after a name":            ok + "A\t: b\r\n" + body,
		"control byte in a name":      ok + "A\x01b: c\r\n" + body,
		"null byte in a name":         ok + "A\x00: b\r\n" + body,
		"byte over 127 in a name":     ok + "A\xe9: b\r\n" + body,
		"separator in a name":         ok + "A(b): c\r\n" + body,
		"empty name":                  ok + ": b\r\n" + body,
		"no name":                     ok + "A\r\n" + body,
		"control byte in a value":     ok + "A: b\x01\r\n" + body,
		"carriage return in a value":  ok + "A: b\rc\r\n" + body,
		"carriage return in a name":   ok + "A\r: b\r\n" + body,
		"control byte in the reason":  "HTTP/1.1 200 O\x01K\r\n" + lines + body,
		"line feeds alone":            strings.ReplaceAll(ok+body, "\r\n", "\n"),
		"last line feed alone":        ok + "Content-Length: 3\r\n\n{}\n",
		"response after half a line":  ok + "A" + ok + body,
	}
}

// InvalidFraming returns, by name, responses of which it is unclear or contradictory where they
// end, with the given lines in their heads.
func InvalidFraming(lines string) map[string]string {
	ok := "HTTP/1.1 200 OK\r\n" + lines
	valid := ok + "Content-Length: 3\r\n\r\n{}\n"
	const chunked, chunks = "Transfer-Encoding: chunked\r\n", "\r\n3\r\n{}\n\r\n0\r\n\r\n"
	return map[string]string{
		"two lengths":                    ok + "Content-Length: 3\r\nContent-Length: 6\r\n\r\n{}\ntwo",
		"list of lengths":                ok + "Content-Length: 3, 3\r\n\r\n{}\n",
		"length with a sign":             ok + "Content-Length: +3\r\n\r\n{}\n",
		"empty length":                   ok + "Content-Length:\r\n\r\n{}\n",
		"length beside chunks":           ok + "Content-Length: 3\r\n" + chunked + chunks,
		"chunks in version 1.0":          "HTTP/1.0 200 OK\r\n" + lines + chunked + chunks,
		"unknown transfer encoding":      ok + "Transfer-Encoding: gzip\r\n\r\n{}\n",
		"encoding after chunks":          ok + "Transfer-Encoding: chunked, gzip\r\n" + chunks,
		"chunk size with a sign":         ok + chunked + "\r\n+3\r\n{}\n\r\n0\r\n\r\n",
		"chunk longer than its size":     ok + chunked + "\r\n3\r\n{}\ntwo\r\n0\r\n\r\n",
		"chunk size without return":      ok + chunked + "\r\n3\n{}\n\r\n0\r\n\r\n",
		"no last chunk":                  ok + chunked + "\r\n3\r\n{}\n\r\n",
		"trailer not ended":              ok + chunked + "\r\n3\r\n{}\n\r\n0\r\n",
		"trailer without a name":         ok + chunked + "\r\n3\r\n{}\n\r\n0\r\nA\r\n\r\n",
		"status 204 with a length":       "HTTP/1.1 204 No Content\r\n" + lines + "Content-Length: 3\r\n\r\n{}\n",
		"status 204 with chunks":         "HTTP/1.1 204 No Content\r\n" + lines + chunked + chunks,
		"interim response with a length": "HTTP/1.1 102 Processing\r\nContent-Length: 57\r\n\r\n" + valid,
		"interim response with chunks":   "HTTP/1.1 102 Processing\r\n" + chunked + "\r\n" + valid,
		"interim response before close":  "HTTP/1.1 102 Processing\r\n" + lines + "\r\n",
		"switched protocol":              "HTTP/1.1 101 Switching Protocols\r\n" + lines + "Upgrade: x\r\n\r\n" + valid,
	}
}
