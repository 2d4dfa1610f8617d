package cli

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/urfave/cli/v3"

	"github.com/boragecrank/boragecrank/internal/apperr"
)

// buildInfo is the JSON output of version.
type buildInfo struct {
	// Version is the version of the module, or "(devel)" for a build of a
	// working tree.
	Version string `json:"version"`
	// Revision is the commit, or empty if the build does not record it.
	Revision string `json:"revision,omitempty"`
	// Time is the time of the commit in RFC 3339.
	Time string `json:"time,omitempty"`
	// Modified reports whether files differed from the commit.
	Modified bool `json:"modified"`
	// Go is the version of Go that built the program.
	Go string `json:"go"`
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:     "version",
		Category: categoryOffline,
		Usage:    "show the version of this program",
		Description: `Shows the version of the module, the revision that it was built from, and the
release of Go.

Examples:
   boragecrank version
   boragecrank version --json`,
		Flags:  []cli.Flag{jsonFlag()},
		Action: runVersion,
	}
}

func runVersion(_ context.Context, cmd *cli.Command) error {
	if err := rejectArguments(cmd); err != nil {
		return err
	}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return apperr.New(apperr.KindInternal, "version", "the program carries no build information", "build it with the go command in module mode")
	}
	b := newBuildInfo(info)
	if cmd.Bool(flagJSON) {
		return printJSON(cmd, b)
	}
	fmt.Fprintf(stdout(cmd), "boragecrank %s\nrevision %s\n%s\n", b.Version, revisionText(b), b.Go)
	return nil
}

func newBuildInfo(info *debug.BuildInfo) buildInfo {
	b := buildInfo{Version: info.Main.Version, Go: info.GoVersion}
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			b.Revision = s.Value
		case "vcs.time":
			b.Time = s.Value
		case "vcs.modified":
			b.Modified = s.Value == "true"
		}
	}
	return b
}

func revisionText(b buildInfo) string {
	if b.Revision == "" {
		return "unknown"
	}
	text := b.Revision + " of " + b.Time
	if b.Modified {
		text += ", with local changes"
	}
	return text
}
