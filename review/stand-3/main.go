//go:build review

package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(*lab) int{
		"silent-worker": silentWorker, "crash-at-start": crashAtStart, "quarantine": quarantine,
		"soak": soak, // a search, not a case
	}
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE")
		os.Exit(exitCannot)
	}
	l := newLab()
	code := cases[os.Args[1]](l)
	l.close()
	os.Exit(code)
}
