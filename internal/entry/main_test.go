package entry

import (
	"flag"
	"os"
	"testing"

	"ledgesill.dev/ledgesill/internal/lockorder"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("test.bench").Value.String() == "" { // the check would be most of what is measured
		lockorder.Check()
	}
	os.Exit(m.Run())
}
