// Package brokenresponse has responses of faulty upstreams that RFC 9112 does not allow. No
// reader may take them for the response to a request. Tests send them on each path on which
// responses are read.
package brokenresponse

// Close at the end of a response stands for the end of the connection.
const Close = "<close>"

// InvalidStatusLines returns, by name, responses with an invalid status line and the given
// lines in their heads. Where another response follows, a reader that skips the first would
// take that one.
func InvalidStatusLines(lines string) map[string]string {
	rest := lines + "Content-Length: 3\r\n\r\none"
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
		"field in its place":          lines + "Content-Length: 3\r\n\r\none",
	}
}
