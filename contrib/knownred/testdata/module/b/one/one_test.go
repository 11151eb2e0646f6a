package one

import "testing"

func TestShared(t *testing.T) {}
