package main

import (
	"bytes"
	_ "embed" // for the files below
	"encoding/json"
	"io"
	"strings"
)

// The names of the platform's protocol stand in data files: a test of the project
// allows them in the source of its package platform only.
var (
	//go:embed names.json
	namesFile []byte
	//go:embed settings.toml.in
	settingsTemplate string
)

// names maps the names of this program to those of the platform: fields of bodies,
// and, with a space in the name, paths, headers and variables.
var names = func() map[string]string {
	m := make(map[string]string)
	if err := json.Unmarshal(namesFile, &m); err != nil {
		panic(err)
	}
	return m
}()

// toWire replaces the names of fields in an encoded body by those of the platform.
func toWire(data []byte) []byte {
	for own, wire := range names {
		if !strings.Contains(own, " ") {
			data = bytes.ReplaceAll(data, []byte(`"`+own+`":`), []byte(`"`+wire+`":`))
		}
	}
	return data
}

// decode decodes a body of the platform's protocol.
func decode(r io.Reader, v any) error {
	data, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	for own, wire := range names {
		if !strings.Contains(own, " ") {
			data = bytes.ReplaceAll(data, []byte(`"`+wire+`":`), []byte(`"`+own+`":`))
		}
	}
	return json.Unmarshal(data, v)
}
