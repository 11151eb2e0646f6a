package one

import "testing"

func TestShared(t *testing.T) {}

func TestOther(t *testing.T) {}
