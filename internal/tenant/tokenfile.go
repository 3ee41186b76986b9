// This file implements the reload of a tokens file without a restart.

package tenant

import (
	"bytes"
	"os"
	"time"

	"github.com/pkg/errors"
)

// TokenFile keeps a Gate in step with a tokens file. It is not safe for concurrent
// use; its gate is.
type TokenFile struct {
	path    string
	content []byte
	gate    *AdmissionController
}

// OpenTokenFile reads and checks a tokens file. It returns an Error if a rule of it
// is broken; any other error tells why it cannot be read.
func OpenTokenFile(path string) (*TokenFile, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "tokens")
	}
	directory, err := ParseCredentials(path, content)
	if err != nil {
		return nil, err
	}
	return &TokenFile{path: path, content: content, gate: NewAdmissionController(directory)}, nil
}

// AdmissionController returns the gate that the file decides for.
func (f *TokenFile) AdmissionController() *AdmissionController { return f.gate }

// Reload reads the file again and reports whether other content came into
// force. If the file cannot be read or breaks a rule, what counted before
// goes on counting.
func (f *TokenFile) Reload(now time.Time) (changed bool, err error) {
	content, err := os.ReadFile(f.path)
	if err != nil {
		return false, errors.Wrap(err, "tokens")
	}
	if bytes.Equal(content, f.content) {
		return false, nil
	}
	directory, err := ParseCredentials(f.path, content)
	if err != nil {
		return false, err
	}
	f.content = content
	f.gate.Replace(directory, now)
	return true, nil
}
