package tomlcheck

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// File is the name and the content of one file.
type File struct {
	Name string
	Data []byte
}

// maxFileBytes prevents a wrong path from loading a large file into memory. It is
// far above the inventory of the target size: 950 VMs listed one by one take
// about 200 KB.
const maxFileBytes = 16 << 20

// ReadFiles reads the given files. For a directory it reads all files in it that
// end in .toml, in order of name, without subdirectories. Files that cannot be
// read are reported as findings.
func ReadFiles(paths []string) ([]File, *Report) {
	report := &Report{}
	var files []File
	for _, name := range expandPaths(paths, report) {
		data, err := readFile(name)
		if err != nil {
			report.Add(Pos{File: name}, "", "", "cannot be read: "+err.Error(), "give the path of a readable TOML file")
			continue
		}
		files = append(files, File{Name: name, Data: data})
	}
	return files, report
}

func expandPaths(paths []string, report *Report) []string {
	var names []string
	if len(paths) == 0 {
		report.Add(Pos{File: "."}, "", "", "no file or directory is given", "give the paths of the files or of the directory to read")
	}
	for _, path := range paths {
		path = filepath.Clean(path)
		info, err := os.Stat(path)
		// readFile reports paths that do not exist.
		if err != nil || !info.IsDir() {
			names = append(names, path)
			continue
		}
		found, err := filepath.Glob(filepath.Join(escapeGlob(path), "*.toml"))
		if err != nil || len(found) == 0 {
			report.Add(Pos{File: path}, "", "", "the directory holds no .toml file", "give the path of a directory with TOML files")
			continue
		}
		names = append(names, found...)
	}
	return uniqueNames(names)
}

// escapeGlob escapes the glob characters of a directory name.
func escapeGlob(path string) string {
	return strings.NewReplacer(`\`, `\\`, `*`, `\*`, `?`, `\?`, `[`, `\[`).Replace(path)
}

func uniqueNames(names []string) []string {
	var kept []string
	for _, n := range names {
		if !slices.Contains(kept, n) {
			kept = append(kept, n)
		}
	}
	return kept
}

func readFile(name string) ([]byte, error) {
	info, err := os.Stat(name)
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() {
		return nil, fmt.Errorf("%s is not a regular file", name)
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("%d bytes is more than the limit of %d", info.Size(), maxFileBytes)
	}
	return os.ReadFile(name)
}
