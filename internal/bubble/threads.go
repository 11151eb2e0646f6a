//go:build !race

package bubble

func limitThreads() (restore func()) { return func() {} }
