package responsehead

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
)

func TestCheck(t *testing.T) {
	for text, want := range map[string]string{
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n":          "",
		"HTTP/1.1 200\r\n\r\n":                                  "",
		"HTTP/1.0 999 \nX: a\x01b\n\n":                          "",
		"HTTP/1.1 200 OK\r\nX: a\r\n b\r\n\r\n":                 "",
		"HTTP/1.1 200 OK\r\nX-Ümlaut: a\r\n\r\n":                `name with byte 0xc3 in field "X-Ümlaut"`,
		"HTTP/1.1 000 X\r\n\r\n":                                `status "000"`,
		"HTTP/1.1 099 X\r\n\r\n":                                `status "099"`,
		"HTTP/1.1 +20 X\r\n\r\n":                                `status "+20"`,
		"HTTP/2.0 200 OK\r\n\r\n":                               `unknown version "HTTP/2.0"`,
		"HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\n":         `name with byte 0x20 in field "Content-Length "`,
		"HTTP/1.1 200 OK\r\nX\x7f: 3\r\n\r\n":                   `name with byte 0x7f in field "X\x7f"`,
		"HTTP/1.1 200 OK\r\n: 3\r\n\r\n":                        "line without a name",
		"HTTP/1.1 200 OK\r\n X: 3\r\n\r\n":                      `name with byte 0x20 in field " X"`,
		"HTTP/1.1 200 OK\r\nX\r\n\r\n":                          `line without a colon in field "X"`,
		"HTTP/1.1 200 OK\r\nX: a\x00\r\n\r\n":                   `value with byte 0x00 in field "X"`,
		"HTTP/1.1 200 OK\r\nX: a\rY: b\r\n\r\n":                 `value with byte 0x0d in field "X"`,
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n": `HTTP/1.0 has no transfer encoding in field "Transfer-Encoding"`,
		"HTTP/1.1 200 OK\r\nX: a\r\n":                           "no end",
	} {
		err := Check([]byte(text))
		if want == "" && err != nil || want != "" && (err == nil || err.Error() != "invalid response head: "+want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}

// Whatever net/http reads and Check refuses, CheckParsed refuses too, but for what net/http drops.
func TestCheckParsed(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 000 X\r\n", "HTTP/2.0 200 OK\r\n", "HTTP/1.1 200 OK\r\nX Foo: a\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n"} {
		r, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head+"\r\n")), nil)
		if err != nil {
			t.Fatalf("%q: %v", head, err)
		}
		var invalid *InvalidError
		if err := CheckParsed(r); !errors.As(err, &invalid) {
			t.Errorf("%q: %v, want an InvalidError", head, err)
		}
		_ = r.Body.Close()
	}
}

func ExampleCheck() {
	fmt.Println(Check([]byte("HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\n")))
	// Output: invalid response head: name with byte 0x20 in field "Content-Length "
}
