package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/boragecrank/boragecrank/internal/tomlcheck"
)

// Secret is a credential. Printing or encoding it does not expose its value.
type Secret struct {
	value string
}

// NewSecret returns a secret with the given value.
func NewSecret(value string) Secret {
	return Secret{value: value}
}

// Value returns the credential in plain text.
func (s Secret) Value() string {
	return s.value
}

// String returns a placeholder for the value.
func (Secret) String() string {
	return "(hidden)"
}

// GoString returns a placeholder for the value.
func (Secret) GoString() string {
	return "(hidden)"
}

// MarshalText returns a placeholder for the value.
func (Secret) MarshalText() ([]byte, error) {
	return []byte("(hidden)"), nil
}

// Credentials are the secrets of a process.
type Credentials struct {
	// OperatorsToken is the bearer token of the operators' API. It is empty for
	// a worker.
	OperatorsToken Secret
	// SharedKey authenticates messages between processes.
	SharedKey Secret
}

// Minimum lengths of credentials in bytes, which are characters for ASCII. A
// shared key of 32 characters holds 128 bits even if it consists of hexadecimal
// digits.
const (
	minTokenBytes = 16
	minKeyBytes   = 32
)

// maxCredentialBytes prevents a wrong path from loading a large file into memory.
const maxCredentialBytes = 64 << 10

func (c *checker) readCredentials() Credentials {
	var creds Credentials
	creds.SharedKey = c.readSecretSetting("shared_key", minKeyBytes)
	if c.role() == RoleEntry {
		creds.OperatorsToken = c.readSecretSetting("operators_token", minTokenBytes)
	}
	return creds
}

// readSecretSetting reads the named credential from the file given by the key
// <name>_file or the environment variable given by the key <name>_env.
func (c *checker) readSecretSetting(name string, minBytes int) Secret {
	r := c.doc.One(tableCredentials)
	fileKey, envKey := name+"_file", name+"_env"
	file, env := r.String(fileKey), r.String(envKey)
	switch {
	case r.Given(fileKey) && r.Given(envKey):
		r.Add(c.report, envKey, "both a file and an environment variable are given", "keep one of the two")
		return Secret{}
	case file != "":
		value, err := readSecretFile(c.resolvePath(file))
		return c.validateSecret(r, fileKey, value, err, minBytes)
	case env != "":
		value, ok := os.LookupEnv(env)
		var err error
		if !ok {
			err = fmt.Errorf("environment variable %s is not set", env)
		}
		return c.validateSecret(r, envKey, value, err, minBytes)
	default:
		c.reportMissingSecret(r, fileKey, envKey)
		return Secret{}
	}
}

func (c *checker) reportMissingSecret(r *tomlcheck.Record, fileKey, envKey string) {
	if r.HasSyntaxError() || c.doc.Incomplete() || r.Given(fileKey) && !r.Valid(fileKey) || r.Given(envKey) && !r.Valid(envKey) {
		return
	}
	pos := r.KeyPos(fileKey)
	if pos.File == "" {
		pos = c.filePos()
	}
	c.report.Add(pos, "[credentials]", fileKey, "the credential is missing", "add "+fileKey+" or "+envKey)
}

func (c *checker) validateSecret(r *tomlcheck.Record, key, value string, err error, minBytes int) Secret {
	if err != nil {
		r.Add(c.report, key, err.Error(), "provide the credential there")
		return Secret{}
	}
	value = strings.TrimSpace(value)
	if len(value) < minBytes {
		r.Add(c.report, key, fmt.Sprintf("the credential has %d characters, want at least %d", len(value), minBytes),
			"generate a longer one at random")
		return Secret{}
	}
	return NewSecret(value)
}

// resolvePath makes a relative path relative to the directory of the settings
// file.
func (c *checker) resolvePath(path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(c.filePos().File), path)
}

// readSecretFile reads a credential file. It refuses a file that the group can write
// or that others can access (mode & 0027).
func readSecretFile(path string) (string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return "", err
	}
	if !info.Mode().IsRegular() || info.Size() > maxCredentialBytes {
		return "", fmt.Errorf("%s is not a regular file of at most %d bytes", path, maxCredentialBytes)
	}
	if mode := info.Mode().Perm(); mode&0o027 != 0 {
		return "", fmt.Errorf("%s has mode %04o, which lets other users read or change it (chmod 600)", path, mode)
	}
	data, err := os.ReadFile(path)
	return string(data), err
}

// ReadSecret reads a credential file of at most 64 KiB. It refuses a file that
// the group can write or that others can access. White space around the
// credential is trimmed. Unlike Load, it does not check the minimum length.
func ReadSecret(path string) (Secret, error) {
	data, err := readSecretFile(path)
	if err != nil {
		return Secret{}, err
	}
	return NewSecret(strings.TrimSpace(data)), nil
}
