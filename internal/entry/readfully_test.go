package entry

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// Guards against losing the error of a response that breaks off while it is read completely.
func TestTruncatedAnswerNamesCause(t *testing.T) {
	a := readFully(&answer{stream: io.NopCloser(iotest.ErrReader(errors.New("the wire is cut")))})
	if !strings.Contains(a.reason, "the wire is cut") {
		t.Errorf("the reason %q does not contain the cause", a.reason)
	}
}
