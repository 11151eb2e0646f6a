package targetstatus

import (
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against a load that is dropped whole, so that its target seems to report none, because of a
// figure behind the first three.
func TestParseLoadReadsFurtherFields(t *testing.T) {
	three := Load{Running: 3, Waiting: 1, Slots: 8}
	slow := three
	slow.WorkTime = 250
	for text, want := range map[string]Load{
		"3,1,8":          three,
		" 3, 1 ,8 ":      three,
		"3,1,8,250":      slow,
		"3,1,8,250.7,x":  slow,
		"3,1,8,":         three,
		"3,1,8,0":        three,
		"3,1,8,-5":       three,
		"3,1,8,NaN":      three,
		"3,1,8,fast":     three,
		"3,1,8,99999999": three,
	} {
		got, ok := ParseLoad(text)
		if diff := cmp.Diff(want, got); !ok || diff != "" {
			t.Errorf("ParseLoad(%q): ok %v, %s", text, ok, diff)
		}
	}
	for _, text := range []string{"", "3", "3,1", "3,1,x", "-1,1,8", "3,1,8.5"} {
		if l, ok := ParseLoad(text); ok {
			t.Errorf("ParseLoad(%q) = %v, want none", text, l)
		}
	}
}

// Guards against a work time that is ignored without a word, and against a warning about loads that
// have none.
func TestUnusableWorkTimeIsReported(t *testing.T) {
	h := Headers{Load: "Load", ParseLoad: ParseLoad}
	for text, want := range map[string]bool{"3,1,8": false, "3,1,8,250": false, "3,1,8,0": true, "3,1,8,fast,1": true, "3,1,x,fast": false} {
		s := h.Decode(http.StatusOK, http.Header{"Load": {text}}, nil)
		if s.WorkTimeUnusable != want {
			t.Errorf("load %q: unusable work time %v, want %v", text, s.WorkTimeUnusable, want)
		}
	}
}
