package entry

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// TestBrokenAnswerTellsItsCause breaks an answer off that is read whole.
func TestBrokenAnswerTellsItsCause(t *testing.T) {
	a := readWhole(&answer{stream: io.NopCloser(iotest.ErrReader(errors.New("the wire is cut")))})
	if !strings.Contains(a.reason, "the wire is cut") {
		t.Errorf("the reason %q does not tell the cause", a.reason)
	}
}
