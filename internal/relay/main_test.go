package relay

import (
	"os"
	"testing"

	"ledgesill.dev/ledgesill/internal/lockorder"
)

func TestMain(m *testing.M) {
	lockorder.Check()
	os.Exit(m.Run())
}
